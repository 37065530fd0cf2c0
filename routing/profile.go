package routing

// Horizons is the number of future points at which the use of memory is projected.
const Horizons = 9

// horizonTokens holds the distance of each horizon, as the number of tokens that each running generation decodes until
// then.
var horizonTokens = [Horizons]int{0, 16, 32, 64, 128, 256, 512, 1024, 2048}

// Profile is an amount of memory, in tokens, at each horizon.
type Profile [Horizons]int

// GenerationProfile returns the memory at each horizon of a generation that holds some tokens now and decodes the
// remaining number of tokens before it ends.
func GenerationProfile(held, remaining int) Profile {
	var prf Profile
	for i, hor := range horizonTokens {
		if hor <= remaining {
			prf[i] = held + hor
		}
	}
	return prf
}

func (prf *Profile) add(other Profile, sign int) {
	for i := range prf {
		prf[i] += sign * other[i]
	}
}

// peak returns the largest memory over all horizons.
func (prf *Profile) peak() int {
	highest := 0
	for _, tokens := range prf {
		highest = max(highest, tokens)
	}
	return highest
}
