#include <LibDocument/DocumentKind.h>

#include <LibBase/JsonReader.h>
#include <LibDocument/DaemonSettings.h>
#include <LibDocument/JobDocument.h>
#include <LibDocument/PlacesDocument.h>
#include <LibDocument/ServiceDocument.h>

namespace paddle {

namespace {

/// @return the kind if the document was parsed, or else its errors
template<typename T>
Outcome<DocumentKind>
KindIfValid(const Outcome<T>& aParsed, DocumentKind aKind)
{
  if (!Succeeded(aParsed)) {
    return ErrorOf(aParsed);
  }
  return aKind;
}

} // namespace

Outcome<DocumentKind>
DocumentKindOf(std::string_view aFile, std::string_view aText)
{
  const Outcome<JsonText> parsed = ParseJsonText(aFile, std::string(aText));
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const Json::Value& root = ValueOf(parsed).mRoot;
  if (root.isObject()) {
    if (root.isMember("service")) {
      return DocumentKind::Service;
    }
    if (root.isMember("job")) {
      return DocumentKind::Job;
    }
    if (root.isMember("member")) {
      return DocumentKind::Settings;
    }
    if (root.isMember("dataCentres")) {
      return DocumentKind::Places;
    }
  }
  return Error{ ErrorKind::InvalidInput,
                std::string(aFile) +
                  ":1:1: the kind of this document is not clear: it must be an "
                  "object with a member \"service\" (service document), "
                  "\"job\" (job), \"member\" (settings of a process) or "
                  "\"dataCentres\" (places)" };
}

Outcome<DocumentKind>
CheckDocument(std::string_view aFile, std::string_view aText)
{
  Outcome<DocumentKind> kind = DocumentKindOf(aFile, aText);
  if (!Succeeded(kind)) {
    return kind;
  }
  switch (ValueOf(kind)) {
    case DocumentKind::Service:
      return KindIfValid(ParseServiceDocument(aFile, aText), ValueOf(kind));
    case DocumentKind::Places:
      return KindIfValid(ParsePlacesDocument(aFile, aText), ValueOf(kind));
    case DocumentKind::Job:
      return KindIfValid(ParseJobDocument(aFile, aText), ValueOf(kind));
    case DocumentKind::Settings:
      return KindIfValid(ParseDaemonSettings(aFile, aText), ValueOf(kind));
  }
  return kind;
}

const char*
ToText(DocumentKind aKind)
{
  switch (aKind) {
    case DocumentKind::Service:
      return "service document";
    case DocumentKind::Places:
      return "places document";
    case DocumentKind::Job:
      return "job";
    case DocumentKind::Settings:
      return "settings of a process";
  }
  return "document";
}

} // namespace paddle
