package pomelorelay

// Result codes of the benchmark tool, 3000 to 3099.
const (
	CodeBenchPlan     ResultCode = 3000
	CodeBenchViolated ResultCode = 3001
	CodeBenchRecord   ResultCode = 3002
	CodeBenchStandIn  ResultCode = 3003
)

var benchCodes = []CodeInfo{
	{CodeBenchPlan, "BenchPlan", 400, RanNo, "The plan of a load cannot be read or does not fit together.", "Correct it as the detail says."},
	{CodeBenchViolated, "BenchViolated", 500, RanYes, "Something that must always hold did not hold in the run.", "Read the violations on standard error."},
	{CodeBenchRecord, "BenchRecord", 400, RanNo, "The record of a run cannot be read or written.", "Check the file's name and content."},
	{CodeBenchStandIn, "BenchStandIn", 503, RanNo, "A stand-in could not be reached or refused a fault.", "Check its admin address and its name."},
}
