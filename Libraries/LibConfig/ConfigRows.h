#pragma once

#include <string>
#include <vector>

#include <LibConfig/ConfigFollower.h>
#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Keys, and prefixes of keys, of the rows that hold the configuration. The row
/// "config/revision" holds a number that rises with every accepted change.
inline constexpr const char* kRevisionKey = "config/revision";
inline constexpr const char* kDocumentPrefix = "doc/";
inline constexpr const char* kDataCentrePrefix = "dc/";
inline constexpr const char* kAuditPrefix = "audit/";

/// @return the revision in a row of kRevisionKey; a row that does not exist
///         holds revision 0
Outcome<std::uint64_t>
ParseRevision(const TableRow& aRow);

/// @return the service document in a row "doc/<service>", with the version that
///         the row gives
Outcome<ServiceDocument>
ParseDocumentRow(const TableRow& aRow);

/// @return the document in a row "doc/<service>" as the author wrote it
Outcome<std::string>
DocumentText(const TableRow& aRow);

/// @return the data centre in a row "dc/<name>"
Outcome<DataCentre>
ParseDataCentreRow(const TableRow& aRow);

/// Builds a configuration from its rows. If the row of a service document can't
/// be parsed, the document in @p aPrevious stays in force. A data centre whose
/// row can't be parsed counts as out of service, because a task that was
/// wrongly started there could not be taken back.
/// @param aPrevious the configuration in force so far, or null
/// @param aProblems receives a line per row that can't be parsed
Configuration
BuildConfiguration(std::uint64_t aRevision,
                   const std::vector<TableRow>& aDocuments,
                   const std::vector<TableRow>& aDataCentres,
                   const Configuration* aPrevious,
                   std::vector<std::string>& aProblems);

} // namespace paddle
