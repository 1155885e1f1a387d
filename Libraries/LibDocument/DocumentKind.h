#pragma once

#include <string_view>

#include <LibTime/Outcome.h>

namespace paddle {

/// The documents that the project reads.
enum class DocumentKind
{
  Service, ///< A latency-critical service, see ServiceDocument.
  Places,  ///< The data centres of a deployment, see PlacesDocument.
  Job,     ///< A batch job, see JobDocument.
  Settings ///< Settings of one process, see DaemonSettings.
};

/// Determines the kind of a document by a member that this kind requires:
/// "service", "job", "member" or, if it has none of these, "dataCentres". The
/// other kinds may have "dataCentres" as well, so it is looked for last.
/// @param aFile name used in errors
/// @return the kind, or an error if the document has none of these members
Outcome<DocumentKind>
DocumentKindOf(std::string_view aFile, std::string_view aText);

/// Parses and validates a document of any kind.
/// @param aFile name used in errors
/// @return the kind of a valid document, or all problems, see
///         ParseServiceDocument()
Outcome<DocumentKind>
CheckDocument(std::string_view aFile, std::string_view aText);

/// @return the kind in words, for instance "service document"
const char*
ToText(DocumentKind aKind);

} // namespace paddle
