package trial

import "strconv"

func pointer(parent string, i int) string {
	return parent + "/" + strconv.Itoa(i)
}
