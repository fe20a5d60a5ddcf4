package config

// Validate returns all semantic problems of doc.
func Validate(doc Document) Problems {
	c := checker{doc: doc}
	c.checkIDs()
	c.checkTeams()
	c.checkKeys()
	c.checkDataCentres()
	c.checkPools()
	c.checkModels()
	c.checkAdapters()
	c.checkRoutes()
	c.checkLimits()
	return c.problems.sorted()
}
