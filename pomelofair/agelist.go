package pomelofair

// appendByAge links a request that was just pushed as the newest waiting one.
func (q *Queues) appendByAge(r *request) { q.linkByAge(r, q.newest) }

// insertByAge links a requeued request by the time at which it was pushed.
func (q *Queues) insertByAge(r *request) {
	at := q.oldest
	var before *request
	for at != nil && at.pushed.Before(r.pushed) {
		before, at = at, at.newer
	}
	q.linkByAge(r, before)
}

// linkByAge links a request behind older, or as the oldest when older is nil.
func (q *Queues) linkByAge(r, older *request) {
	r.older = older
	if older == nil {
		r.newer = q.oldest
		q.oldest = r
	} else {
		r.newer = older.newer
		older.newer = r
	}
	if r.newer == nil {
		q.newest = r
	} else {
		r.newer.older = r
	}
}

func (q *Queues) unlinkByAge(r *request) {
	if r.older == nil {
		q.oldest = r.newer
	} else {
		r.older.newer = r.newer
	}
	if r.newer == nil {
		q.newest = r.older
	} else {
		r.newer.older = r.older
	}
	r.older, r.newer = nil, nil
}
