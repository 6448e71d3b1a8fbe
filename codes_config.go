package pomelorelay

// Result codes of router settings, questionnaire answers and the configuration, 2000 to 2099.
const (
	CodeConfigSyntax        ResultCode = 2000
	CodeConfigUnknownField  ResultCode = 2001
	CodeSettingsInvalid     ResultCode = 2002
	CodeConfigInvalid       ResultCode = 2003
	CodeAnswersInvalid      ResultCode = 2004
	CodeConfigConflict      ResultCode = 2005
	CodeConfigUnsettled     ResultCode = 2006
	CodeConfigHashMismatch  ResultCode = 2007
	CodeConfigPartMissing   ResultCode = 2008
	CodeConfigTooLarge      ResultCode = 2009
	CodeConfigNone          ResultCode = 2010
	CodeConfigHistoryBroken ResultCode = 2011
	CodeConfigNotInForce    ResultCode = 2012
	CodeFileUnreadable      ResultCode = 2013
	CodeRouterUnreachable   ResultCode = 2014
	CodeConfigMalformed     ResultCode = 2015
)

var configCodes = []CodeInfo{
	{CodeConfigSyntax, "ConfigSyntax", 400, RanNo, "The YAML cannot be read.", "Correct the line named."},
	{CodeConfigUnknownField, "ConfigUnknownField", 400, RanNo, "A field is not known.", "Correct the name; names are in Pascal case."},
	{CodeSettingsInvalid, "SettingsInvalid", 400, RanNo, "A router's settings are not usable.", "Correct the line as the fix says."},
	{CodeConfigInvalid, "ConfigInvalid", 400, RanNo, "The configuration is not consistent; nothing was accepted.", "Correct the entries as the fixes say."},
	{CodeAnswersInvalid, "AnswersInvalid", 400, RanNo, "The answers to the questionnaire are not usable.", "Correct the line as the fix says."},
	{CodeConfigConflict, "ConfigConflict", 409, RanNo, "Another operator's change was accepted first; this one was not.", "Look at the winner with diff and audit, then apply anew."},
	{CodeConfigUnsettled, "ConfigUnsettled", 503, RanUnknown, "The store's answer was lost and could not be read back.", "Look for the change id with audit, or apply again with the same --change-id."},
	{CodeConfigHashMismatch, "ConfigHashMismatch", 500, RanNo, "A part or root does not match its hash.", "Apply the configuration again."},
	{CodeConfigPartMissing, "ConfigPartMissing", 500, RanNo, "A part of the configuration is missing.", "Apply the configuration again."},
	{CodeConfigTooLarge, "ConfigTooLarge", 413, RanNo, "A part, root or document of the configuration is over its bound.", "Make the entry smaller."},
	{CodeConfigNone, "ConfigNone", 404, RanNo, "The store holds no configuration.", "Apply one."},
	{CodeConfigHistoryBroken, "ConfigHistoryBroken", 500, RanNo, "The audit trail has a gap or an entry that does not match its hash.", "Look for a store restored from an old copy."},
	{CodeConfigNotInForce, "ConfigNotInForce", 504, RanNo, "The configuration was accepted, but is not in force on every router asked.", "Look at the routers named with status."},
	{CodeFileUnreadable, "FileUnreadable", 400, RanNo, "A file cannot be read or written.", "Check its path and rights."},
	{CodeRouterUnreachable, "RouterUnreachable", 503, RanNo, "A router's operator port does not answer.", "Check the address and the router."},
	{CodeConfigMalformed, "ConfigMalformed", 400, RanNo, "A stored part or root cannot be decoded.", "Compare the versions of the programs."},
}
