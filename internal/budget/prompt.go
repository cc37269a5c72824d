package budget

import "ibisline/internal/structs"

// messageOverheadTokens is the maximum number of tokens that a chat template adds to a
// message.
const messageOverheadTokens = 16

// promptOverheadTokens is the maximum number of tokens that a chat template adds to a
// prompt.
const promptOverheadTokens = 32

// PromptBound returns an upper bound of the prompt's length in tokens. known is the
// number of tokens in the context that an engine has already counted, and added are
// the messages that follow it. The bound assumes that a token has at least one byte.
func PromptBound(known int, added []structs.Message) int {
	bound := known + promptOverheadTokens
	for _, message := range added {
		bound += len(message.Role) + len(message.Content) + messageOverheadTokens
	}
	return bound
}
