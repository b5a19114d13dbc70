package reservation

// Class is the urgency of a request; 0 is the most urgent. Requests go before those of a higher class.
type Class uint8

// classes is the number of classes that are distinguished. Higher ones count as the last.
const classes = 8

// ClassOf returns the class of a request with a priority. Batch requests yield to others of the same
// priority.
func ClassOf(priority uint8, batch bool) Class {
	class := 2 * int(priority)
	if batch {
		class++
	}
	return Class(min(class, classes-1))
}
