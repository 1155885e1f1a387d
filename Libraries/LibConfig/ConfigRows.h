#pragma once

#include <string>
#include <vector>

#include <LibConfig/ConfigFollower.h>
#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// Keys and prefixes of the configuration's rows.
inline constexpr const char* kRevisionKey = "config/revision";
inline constexpr const char* kDocumentPrefix = "doc/";
inline constexpr const char* kDataCentrePrefix = "dc/";
inline constexpr const char* kAuditPrefix = "audit/";

/// @return the revision in a row of kRevisionKey; a row that does not exist
///         holds revision 0
Outcome<std::uint64_t>
ParseRevision(const TableRow& aRow);

/// @return the service document with its version in a row "doc/<service>"
Outcome<ServiceDocument>
ParseDocumentRow(const TableRow& aRow);

/// @return the text as written in a row "doc/<service>"
Outcome<std::string>
DocumentText(const TableRow& aRow);

/// @return the data centre in a row "dc/<name>"
Outcome<DataCentre>
ParseDataCentreRow(const TableRow& aRow);

/// Builds a configuration from its rows. A document row that can't be parsed
/// keeps the document in @p aFormer; a data centre whose row can't be parsed
/// counts as out of service, because a start there could not be taken back.
/// @param aProblems receives a line per row that can't be parsed
Configuration
BuildConfiguration(std::uint64_t aRevision,
                   const std::vector<TableRow>& aDocuments,
                   const std::vector<TableRow>& aDataCentres,
                   const Configuration* aFormer,
                   std::vector<std::string>& aProblems);

} // namespace paddle
