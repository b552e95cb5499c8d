package traffic

// BytesPerSecond converts a link speed from megabits per second to bytes per second.
func BytesPerSecond(mbps float64) float64 {
	const bytesPerMbit = 1e6 / 8
	return mbps * bytesPerMbit
}
