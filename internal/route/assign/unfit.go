package assign

// Unfit is why a backend server can't be chosen. The zero value is Fit.
type Unfit string

// The reasons.
const (
	// Fit means that it can be chosen.
	Fit Unfit = ""
	// Excluded means that the request must not be sent to it again.
	Excluded Unfit = "Excluded"
	// Ejected means that it is out of the rotation, and others are not.
	Ejected Unfit = "Ejected"
	// Full means that it has as many requests as it may have, FullOfWork that it has as
	// many of this kind of work.
	Full       Unfit = "Full"
	FullOfWork Unfit = "FullOfWork"
	// Probation means that it gets one request at a time after failures, and has one.
	Probation Unfit = "Probation"
	// Unmeasured means that the times of an engine with a prefill in progress are not known.
	Unmeasured Unfit = "Unmeasured"
	// WaitTooLong means that the predicted wait for a prefill exceeds the window.
	WaitTooLong Unfit = "WaitTooLong"
	// PrefillTooLong means that the prefill would interrupt the engine's streams for too
	// long.
	PrefillTooLong Unfit = "PrefillTooLong"
)

// Unfits returns why each candidate can't be chosen, as Choose sees it.
func Unfits(candidates []Candidate) []Unfit {
	allEjected := true
	for _, c := range candidates {
		allEjected = allEjected && (c.Ejected || c.Excluded)
	}
	list := make([]Unfit, 0, len(candidates))
	for _, c := range candidates {
		list = append(list, c.unfit(allEjected))
	}
	return list
}

// Forecasts returns the prediction for each engine, as Prefill makes it, and why the engine
// can't be chosen. An engine whose prefill can't be predicted has a zero Forecast, apart from
// its Index.
func Forecasts(engines []Engine, q Query) ([]Forecast, []Unfit) {
	c := newComparison(engines, q)
	forecasts, unfits := make([]Forecast, 0, len(engines)), make([]Unfit, 0, len(engines))
	for i := range engines {
		f, unfit := c.forecast(i)
		forecasts, unfits = append(forecasts, f), append(unfits, unfit)
	}
	return forecasts, unfits
}
