package quota

// Reserved returns the sum of outstanding loans and of tokens held for requests that are being admitted.
func (b *Bucket) Reserved() int64 { return int64(b.reserved) }
