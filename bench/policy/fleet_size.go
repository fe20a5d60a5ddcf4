package policy

// fleetSize is a size at which the load imbalance experiment runs.
type fleetSize struct {
	name    string
	entries int
	servers int
}

func fleetSizes() []fleetSize {
	return []fleetSize{
		{"Association, 6 entries, 9 servers", 6, 9},
		{"Mugcraft, 8 entries, 18 servers", 8, 18},
		{"100 entries, 100 servers", 100, 100},
	}
}
