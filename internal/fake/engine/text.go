package engine

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ibisline/internal/structs"
)

const (
	// BytesPerToken is the length of a token. A message of n bytes has
	// ceil(n / BytesPerToken) tokens, and each generated token has exactly
	// BytesPerToken bytes, so that an answer has the same number of tokens in a
	// later prompt.
	BytesPerToken = 4
	// defaultOutputTokens is the answer's length without an "[out=N]" mark.
	defaultOutputTokens = 32
)

// outputMark in the last message sets the length of the answer in tokens.
var outputMark = regexp.MustCompile(`\[out=(\d+)\]`)

// CountTokens returns the number of tokens of one message's content.
func CountTokens(content string) int {
	return (len(content) + BytesPerToken - 1) / BytesPerToken
}

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(messages []structs.Message) int {
	total := 0
	for _, message := range messages {
		total += CountTokens(message.Content)
	}
	return total
}

// Answer returns the answer to a prompt and its finish reason, "stop" or
// "length". Each word of the answer depends on all messages of the prompt.
func Answer(messages []structs.Message, maxTokens int) (text, finish string) {
	tokens := requestedTokens(messages)
	finish = "stop"
	if tokens > maxTokens {
		tokens = maxTokens
		finish = "length"
	}
	hash := promptHash(messages)
	var b strings.Builder
	for i := 0; b.Len() < tokens*BytesPerToken; i++ {
		fmt.Fprintf(&b, "w%s-%05d ", hash, i%100_000)
	}
	return b.String()[:tokens*BytesPerToken], finish
}

// requestedTokens returns the answer's length before max_tokens limits it.
func requestedTokens(messages []structs.Message) int {
	if len(messages) == 0 {
		return defaultOutputTokens
	}
	last := messages[len(messages)-1].Content
	mark := outputMark.FindStringSubmatch(last)
	if mark == nil {
		return defaultOutputTokens
	}
	n, err := strconv.Atoi(mark[1])
	if err != nil {
		return defaultOutputTokens
	}
	return n
}

// promptHash returns a hash of all roles and contents as 8 hex digits.
func promptHash(messages []structs.Message) string {
	digest := xxhash.New()
	for _, message := range messages {
		fmt.Fprintf(digest, "%d:%s:%d:%s;", len(message.Role), message.Role, len(message.Content), message.Content)
	}
	return fmt.Sprintf("%08x", uint32(digest.Sum64()))
}
