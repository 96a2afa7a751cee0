package main

func registration(string) {}
