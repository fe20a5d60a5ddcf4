package fleet

// MinRateLimit is the lowest limit that applies, in requests a second. An upstream that
// names 0 is still asked now and then, since only its answers tell that it takes more.
const MinRateLimit = 0.1
