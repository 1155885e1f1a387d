#pragma once

#include <string_view>

#include <LibTime/Outcome.h>

namespace paddle {

enum class DocumentKind
{
  Service,
  Places,
  Job,
  Settings
};

/// Tells the kind of a document by the member that only this kind requires:
/// "service", "job", "member" or, without these, "dataCentres".
Outcome<DocumentKind>
DocumentKindOf(std::string_view aFile, std::string_view aText);

/// Parses and checks a document of any kind, see ParseServiceDocument().
/// @return its kind
Outcome<DocumentKind>
CheckDocument(std::string_view aFile, std::string_view aText);

/// @return the kind in words, for instance "service document"
const char*
ToText(DocumentKind aKind);

} // namespace paddle
