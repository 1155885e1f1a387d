#include <LibDocument/PlacesDocument.h>

#include <set>

#include <LibBase/JsonReader.h>
#include <LibDocument/DocumentFields.h>

namespace paddle {

Outcome<PlacesDocument>
ParsePlacesDocument(std::string_view aFile, std::string_view aText)
{
  const Outcome<JsonText> parsed = ParseJsonText(aFile, std::string(aText));
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const JsonText& text = ValueOf(parsed);
  std::vector<std::string> errors;
  ObjectReader reader(text, text.mRoot, "", errors);
  PlacesDocument document;
  std::set<std::string> names;
  const Json::Value& array = reader.Array("dataCentres", Presence::Required);
  for (Json::ArrayIndex i = 0; i < array.size(); ++i) {
    ObjectReader element(
      text, array[i], ElementPath(reader, "dataCentres", i), errors);
    DataCentreLocation location;
    location.mDataCentre = ReadName(element, "name", Presence::Required);
    location.mRegion = ReadName(element, "region", Presence::Required);
    element.Finish();
    if (!location.mDataCentre.empty() &&
        !names.insert(location.mDataCentre).second) {
      element.Fail("name",
                   "is the name of an earlier data centre too, \"" +
                     location.mDataCentre + "\"");
    }
    document.mDataCentres.push_back(std::move(location));
  }
  if (array.isArray() && array.empty()) {
    reader.Fail("dataCentres", "must hold at least one data centre");
  }
  reader.Finish();
  if (!errors.empty()) {
    return JoinErrors(errors);
  }
  return document;
}

} // namespace paddle
