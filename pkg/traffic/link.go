package traffic

// BytesPerSecond is what a link of so many megabits a second carries.
func BytesPerSecond(mbps float64) float64 {
	const bytesPerMbit = 1e6 / 8
	return mbps * bytesPerMbit
}
