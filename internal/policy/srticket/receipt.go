package srticket

import (
	"encoding/base64"
	"strings"

	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxReceiptBytes is the size of the longest receipt text.
const maxReceiptBytes = 512

const receiptSeparator = "/"

// EncodeReceipt returns the text of a receipt. It contains the stream name, a secret
// that allows anyone who has it to read the answer.
func EncodeReceipt(r sr.Receipt) string {
	return base64.RawURLEncoding.EncodeToString([]byte(r.Stream + receiptSeparator + r.Endpoint))
}

// ParseReceipt decodes the text of a receipt. It returns ErrInvalid for a malformed
// text.
func ParseReceipt(text string) (sr.Receipt, error) {
	if len(text) > maxReceiptBytes {
		return sr.Receipt{}, errors.Wrap(sr.ErrInvalid, "srticket: receipt is too long")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return sr.Receipt{}, errors.Wrap(sr.ErrInvalid, "srticket: receipt is not base64url")
	}
	stream, endpoint, found := strings.Cut(string(raw), receiptSeparator)
	if !found || stream == "" || endpoint == "" {
		return sr.Receipt{}, errors.Wrap(sr.ErrInvalid, "srticket: receipt has missing fields")
	}
	return sr.Receipt{Endpoint: endpoint, Stream: stream}, nil
}
