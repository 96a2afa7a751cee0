// Package spelling suggests the valid name most similar to a misspelled one.
package spelling

// maxNameBytes is the length above which names are not compared: computing the
// distance takes quadratic time, and no valid name is this long.
const maxNameBytes = 256

// Nearest returns the candidate with the smallest edit distance to name, the
// lexically first one on a tie. It returns "" if the distance exceeds a third of the
// name's length, or 1 for names of fewer than six bytes.
func Nearest(name string, candidates []string) string {
	if len(name) > maxNameBytes {
		return ""
	}
	best, bestDistance := "", max(1, len(name)/3)+1
	for _, c := range candidates {
		if d := editDistance(name, c); d < bestDistance || (d == bestDistance && best != "" && c < best) {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			diagonal, row[j] = row[j], min(row[j]+1, row[j-1]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
