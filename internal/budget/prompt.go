package budget

import "ibisline/internal/structs"

// messageOverhead bounds the tokens that a chat template adds to one message.
const messageOverhead = 16

// promptOverhead bounds the tokens that a chat template adds to a prompt.
const promptOverhead = 32

// PromptBound returns an upper bound of the prompt's length in tokens. known is
// the length of the context that an engine has already counted, and added the
// messages that follow it. A token stands for at least one byte.
func PromptBound(known int, added []structs.Message) int {
	bound := known + promptOverhead
	for _, message := range added {
		bound += len(message.Role) + len(message.Content) + messageOverhead
	}
	return bound
}
