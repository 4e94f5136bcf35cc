package main

func playQuota(rec *record, trouble bool) (bool, error) { return false, errCannotRun }
