package pomelofair

// appendByAge links a newly pushed request as the newest in the age list.
func (q *Queues) appendByAge(r *request) { q.linkByAge(r, q.newest) }

// insertByAge links a requeued request at the position of its push time.
func (q *Queues) insertByAge(r *request) {
	at := q.oldest
	var before *request
	for at != nil && at.pushed.Before(r.pushed) {
		before, at = at, at.newer
	}
	q.linkByAge(r, before)
}

// linkByAge links a request after older, or as the oldest if older is nil.
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
