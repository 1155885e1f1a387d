#include <LibConfig/ConfigRows.h>

#include <charconv>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

Error
BadRow(const TableRow& aRow, const std::string& aWhy)
{
  return Error{ ErrorKind::Internal,
                "row " + aRow.mKey + " can't be used: " + aWhy };
}

Outcome<Json::Value>
ParseObjectRow(const TableRow& aRow)
{
  const Outcome<JsonText> parsed = ParseJsonText(aRow.mKey, aRow.mValue);
  if (!Succeeded(parsed)) {
    return BadRow(aRow, ErrorOf(parsed).mMessage);
  }
  if (!ValueOf(parsed).mRoot.isObject()) {
    return BadRow(aRow, "it is not an object");
  }
  return ValueOf(parsed).mRoot;
}

std::string
NameOf(const TableRow& aRow)
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
    return BadRow(aRow, "\"" + aRow.mValue + "\" is not a number");
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
    return BadRow(aRow, "it lacks a version or a text");
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
    return BadRow(aRow, ErrorOf(document).mMessage);
  }
  if (ValueOf(document).mService != NameOf(aRow)) {
    return BadRow(
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
    return BadRow(aRow, "it lacks a region, or its state is not in or out");
  }
  return DataCentre{ NameOf(aRow),
                     region.asString(),
                     state.asString() == "in" ? DataCentreState::InService
                                              : DataCentreState::Out };
}

Configuration
BuildConfiguration(std::uint64_t aRevision,
                   const std::vector<TableRow>& aDocuments,
                   const std::vector<TableRow>& aDataCentres,
                   const Configuration* aFormer,
                   std::vector<std::string>& aProblems)
{
  Configuration built;
  built.mRevision = aRevision;
  for (const TableRow& row : aDocuments) {
    const std::string name = NameOf(row);
    Outcome<ServiceDocument> document = ParseDocumentRow(row);
    if (Succeeded(document)) {
      built.mServices[name] = std::move(ValueOf(document));
      continue;
    }
    aProblems.push_back(ErrorOf(document).mMessage);
    if (aFormer && aFormer->mServices.contains(name)) {
      built.mServices[name] = aFormer->mServices.at(name);
    }
  }
  for (const TableRow& row : aDataCentres) {
    const std::string name = NameOf(row);
    const Outcome<DataCentre> place = ParseDataCentreRow(row);
    if (Succeeded(place)) {
      built.mDataCentres[name] = ValueOf(place);
      continue;
    }
    aProblems.push_back(ErrorOf(place).mMessage);
    DataCentre out;
    if (aFormer && aFormer->mDataCentres.contains(name)) {
      out = aFormer->mDataCentres.at(name);
    }
    out.mName = name;
    out.mState = DataCentreState::Out;
    built.mDataCentres[name] = out;
  }
  return built;
}

} // namespace paddle
