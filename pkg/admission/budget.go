package admission

// budgetBurst bounds the saved allowance of a budget.
const budgetBurst = 50

// budget allows extra actions as a part of the executions. It starts empty, so
// that the part holds over any time since the start.
type budget struct {
	rate   float64
	tokens float64
}

func (b *budget) earn() { b.tokens = min(budgetBurst, b.tokens+b.rate) }

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
