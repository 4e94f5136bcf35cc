package quota

// Reserved is the sum of outstanding loans and of tokens that are held for requests being admitted.
func (b *Bucket) Reserved() int64 { return int64(b.reserved) }
