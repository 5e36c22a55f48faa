package admission

// budgetBurst is the largest number of tokens that a budget saves.
const budgetBurst = 50

// budget is a token bucket that bounds repeated executions to a fraction of the
// first executions.
type budget struct {
	// rate is the number of tokens that one first execution earns.
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
