package trial

import (
	"strconv"
	"strings"
)

func pointer(parent string, i int) string {
	return parent + "/" + strconv.Itoa(i)
}

// position names the i-th element of a list in a case, counted from 1.
func position(i int) string {
	return "@" + strconv.Itoa(i+1)
}

// index reads what position writes, or a plain number.
func index(s string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(s, "@"))
	return n - 1, err == nil && n > 0
}
