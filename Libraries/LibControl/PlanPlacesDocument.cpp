#include <LibControl/PlanPlacesDocument.h>

#include <map>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibDocument/PlacesDocument.h>

namespace paddle {

namespace {

/// Rows of the data centres in the table, by key.
using DataCentreRows = std::map<std::string, TableRow>;

Outcome<DataCentreRows>
ReadDataCentreRows(const TablePort& aTable)
{
  const auto rows = aTable.mScan(kDataCentrePrefix);
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  DataCentreRows current;
  for (const TableRow& row : ValueOf(rows)) {
    current[row.mKey] = row;
  }
  return current;
}

/// Adds a new data centre, in service, to the plan.
void
PlanAddition(const DataCentreLocation& aPlace,
             const std::string& aKey,
             const Author& aAuthor,
             ChangePlan& aPlan)
{
  aPlan.mConditions.push_back({ aKey, 0 });
  aPlan.mWrites.push_back(
    { aKey, DataCentreRowValue(aPlace.mRegion, "in", aAuthor) });
  aPlan.mChanges.push_back(aPlace.mDataCentre + ": added in region " +
                           aPlace.mRegion + ", in service");
}

/// Adds a change of region to the plan if the document names another one.
Outcome<Done>
PlanUpdate(const DataCentreLocation& aPlace,
           const TableRow& aRow,
           const Author& aAuthor,
           ChangePlan& aPlan)
{
  const Outcome<DataCentre> current = ParseDataCentreRow(aRow);
  if (!Succeeded(current)) {
    return ErrorOf(current);
  }
  if (ValueOf(current).mRegion == aPlace.mRegion) {
    return Done{};
  }
  const bool in = ValueOf(current).mState == DataCentreState::InService;
  aPlan.mConditions.push_back({ aRow.mKey, aRow.mVersion });
  aPlan.mWrites.push_back(
    { aRow.mKey,
      DataCentreRowValue(aPlace.mRegion, in ? "in" : "out", aAuthor) });
  aPlan.mChanges.push_back(aPlace.mDataCentre + ": region " +
                           ValueOf(current).mRegion + " -> " + aPlace.mRegion);
  return Done{};
}

/// Adds the removal of a data centre to the plan.
/// @return a conflict error if the data centre is in service
Outcome<Done>
PlanRemoval(const TableRow& aRow, ChangePlan& aPlan)
{
  const Outcome<DataCentre> current = ParseDataCentreRow(aRow);
  if (!Succeeded(current)) {
    return ErrorOf(current);
  }
  const std::string& name = ValueOf(current).mName;
  if (ValueOf(current).mState == DataCentreState::InService) {
    return Error{ ErrorKind::Conflict,
                  "data centre " + name +
                    " is in service but not in the document; run savorypaddle "
                    "drain " +
                    name + " before it is removed" };
  }
  aPlan.mConditions.push_back({ aRow.mKey, aRow.mVersion });
  aPlan.mWrites.push_back({ aRow.mKey, std::nullopt });
  aPlan.mChanges.push_back(name + ": removed");
  return Done{};
}

} // namespace

Outcome<ChangePlan>
PlanPlacesDocument(const TablePort& aTable,
                   const Author& aAuthor,
                   const ApplyRequest& aRequest)
{
  const Outcome<PlacesDocument> parsed =
    ParsePlacesDocument(aRequest.mFile, aRequest.mText);
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  Outcome<DataCentreRows> read = ReadDataCentreRows(aTable);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  DataCentreRows& current = ValueOf(read);
  ChangePlan plan;
  plan.mWhat = "places";
  for (const DataCentreLocation& place : ValueOf(parsed).mDataCentres) {
    const std::string key = kDataCentrePrefix + place.mDataCentre;
    const auto found = current.find(key);
    if (found == current.end()) {
      PlanAddition(place, key, aAuthor, plan);
      continue;
    }
    const Outcome<Done> planned =
      PlanUpdate(place, found->second, aAuthor, plan);
    if (!Succeeded(planned)) {
      return ErrorOf(planned);
    }
    current.erase(found);
  }
  for (const auto& [key, row] : current) {
    const Outcome<Done> planned = PlanRemoval(row, plan);
    if (!Succeeded(planned)) {
      return ErrorOf(planned);
    }
  }
  return plan;
}

std::string
DataCentreRowValue(const std::string& aRegion,
                   const std::string& aState,
                   const Author& aAuthor)
{
  Json::Value value;
  value["region"] = aRegion;
  value["state"] = aState;
  value["who"] = aAuthor.mWho;
  value["why"] = aAuthor.mWhy;
  return WriteJson(value);
}

} // namespace paddle
