package gateway_test

import (
	"strconv"
	"strings"
)

// runPrefix runs commands for parts of prompts that engines hold; it returns false for other commands.
func (sit *site) runPrefix(args []string) bool {
	switch args[0] {
	case "contracts": // contracts WORDS: the setting of the daemons that start from now on
		sit.contracts = args[1]
	case "together": // together CALL...: all calls ran at one engine
		sit.checkTogether(args[1:])
	default:
		return false
	}
	return true
}

func (sit *site) checkTogether(calls []string) {
	at := map[string]bool{}
	for _, call := range calls {
		for id := range sit.engines {
			if len(sit.runs(call, []string{id})) > 0 {
				at[id] = true
			}
		}
	}
	if len(at) != 1 {
		sit.fatalf("got runs at %v, want them at one engine", at)
	}
}

// promptUsage returns the sizes of a prompt and of its longest answer for parts that are written as ID:TOKENS.
func promptUsage(prompt string) string {
	total := 0
	for _, part := range strings.Split(prompt, ",") {
		_, tokens, _ := strings.Cut(part, ":")
		count, _ := strconv.Atoi(tokens)
		total += count
	}
	return strconv.Itoa(total) + ",400"
}
