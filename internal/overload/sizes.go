package overload

// Expectations of routes that have not answered yet, and their adaptation.
const (
	firstBody, firstAnswer = 2 << 10, 4 << 10
	// sizeWeight is the weight of the newest request in a route's mean.
	sizeWeight = 0.1
	// maxRoutes bounds the routes that are remembered; a configuration has some thousands at most.
	maxRoutes = 4096
)

// Sizes learns the sizes of the requests and responses of each route.
type Sizes struct {
	routes map[string]sizes
}

type sizes struct{ body, answer float64 }

// NewSizes returns Sizes that know no route.
func NewSizes() *Sizes { return &Sizes{routes: make(map[string]sizes)} }

// Expect completes the description of a request of a route: its response, and its body if that is -1 for
// unknown.
func (s *Sizes) Expect(route string, r Request) Request {
	known, ok := s.routes[route]
	if !ok {
		known = sizes{firstBody, firstAnswer}
	}
	if r.Body < 0 {
		r.Body = int64(known.body)
	}
	r.Answer = int64(known.answer)
	return r
}

// Record records the sizes of a request and its response.
func (s *Sizes) Record(route string, body, answer int64) {
	known, ok := s.routes[route]
	if !ok {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		known = sizes{firstBody, firstAnswer}
	}
	known.body += sizeWeight * (float64(body) - known.body)
	known.answer += sizeWeight * (float64(answer) - known.answer)
	s.routes[route] = known
}
