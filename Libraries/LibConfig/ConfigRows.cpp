#include <LibConfig/ConfigRows.h>

#include <charconv>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// @return the error for a row whose value can't be used
Error
RowError(const TableRow& aRow, const std::string& aReason)
{
  return Error{ ErrorKind::Internal,
                "row " + aRow.mKey + " can't be used: " + aReason };
}

/// @return the value of a row, which must be a JSON object
Outcome<Json::Value>
ParseObjectRow(const TableRow& aRow)
{
  const Outcome<JsonText> parsed = ParseJsonText(aRow.mKey, aRow.mValue);
  if (!Succeeded(parsed)) {
    return RowError(aRow, ErrorOf(parsed).mMessage);
  }
  if (!ValueOf(parsed).mRoot.isObject()) {
    return RowError(aRow, "its value is not a JSON object");
  }
  return ValueOf(parsed).mRoot;
}

/// @return the part of the row's key after the prefix: the name of the service
///         or data centre
std::string
NameInKey(const TableRow& aRow)
{
  return aRow.mKey.substr(aRow.mKey.find('/') + 1);
}

} // namespace

Outcome<std::uint64_t>
ParseRevision(const TableRow& aRow)
{
  if (aRow.mVersion == 0) {
    return std::uint64_t{ 0 };
  }
  std::uint64_t revision = 0;
  const char* end = aRow.mValue.data() + aRow.mValue.size();
  const auto [stop, code] = std::from_chars(aRow.mValue.data(), end, revision);
  if (code != std::errc() || stop != end) {
    return RowError(aRow, "\"" + aRow.mValue + "\" is not a number");
  }
  return revision;
}

Outcome<std::string>
DocumentText(const TableRow& aRow)
{
  const Outcome<Json::Value> row = ParseObjectRow(aRow);
  if (!Succeeded(row)) {
    return ErrorOf(row);
  }
  const Json::Value& text = ValueOf(row)["text"];
  if (!text.isString() || !ValueOf(row)["version"].isUInt64()) {
    return RowError(aRow, "\"version\" or \"text\" is missing or malformed");
  }
  return text.asString();
}

Outcome<ServiceDocument>
ParseDocumentRow(const TableRow& aRow)
{
  const Outcome<std::string> text = DocumentText(aRow);
  if (!Succeeded(text)) {
    return ErrorOf(text);
  }
  Outcome<ServiceDocument> document =
    ParseServiceDocument(aRow.mKey, ValueOf(text));
  if (!Succeeded(document)) {
    return RowError(aRow, ErrorOf(document).mMessage);
  }
  if (ValueOf(document).mService != NameInKey(aRow)) {
    return RowError(
      aRow, "it holds the document of service " + ValueOf(document).mService);
  }
  ValueOf(document).mVersion =
    ValueOf(ParseObjectRow(aRow))["version"].asUInt64();
  return document;
}

Outcome<DataCentre>
ParseDataCentreRow(const TableRow& aRow)
{
  const Outcome<Json::Value> row = ParseObjectRow(aRow);
  if (!Succeeded(row)) {
    return ErrorOf(row);
  }
  const Json::Value& region = ValueOf(row)["region"];
  const Json::Value& state = ValueOf(row)["state"];
  if (!region.isString() || !state.isString() ||
      (state.asString() != "in" && state.asString() != "out")) {
    return RowError(
      aRow, "\"region\" is missing, or \"state\" is not \"in\" or \"out\"");
  }
  return DataCentre{ NameInKey(aRow),
                     region.asString(),
                     state.asString() == "in" ? DataCentreState::InService
                                              : DataCentreState::Out };
}

Configuration
BuildConfiguration(std::uint64_t aRevision,
                   const std::vector<TableRow>& aDocuments,
                   const std::vector<TableRow>& aDataCentres,
                   const Configuration* aPrevious,
                   std::vector<std::string>& aProblems)
{
  Configuration built;
  built.mRevision = aRevision;
  for (const TableRow& row : aDocuments) {
    const std::string name = NameInKey(row);
    Outcome<ServiceDocument> document = ParseDocumentRow(row);
    if (Succeeded(document)) {
      built.mServices[name] = std::move(ValueOf(document));
      continue;
    }
    aProblems.push_back(ErrorOf(document).mMessage);
    if (aPrevious && aPrevious->mServices.contains(name)) {
      built.mServices[name] = aPrevious->mServices.at(name);
    }
  }
  for (const TableRow& row : aDataCentres) {
    const std::string name = NameInKey(row);
    const Outcome<DataCentre> dataCentre = ParseDataCentreRow(row);
    if (Succeeded(dataCentre)) {
      built.mDataCentres[name] = ValueOf(dataCentre);
      continue;
    }
    aProblems.push_back(ErrorOf(dataCentre).mMessage);
    DataCentre out;
    if (aPrevious && aPrevious->mDataCentres.contains(name)) {
      out = aPrevious->mDataCentres.at(name);
    }
    out.mName = name;
    out.mState = DataCentreState::Out;
    built.mDataCentres[name] = out;
  }
  return built;
}

} // namespace paddle
