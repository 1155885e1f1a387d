#include <LibControl/PlanPlaces.h>

#include <map>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibDocument/PlacesDocument.h>

namespace paddle {

namespace {

/// The data centres as they are, by row key.
using Rows = std::map<std::string, TableRow>;

Outcome<Rows>
ReadPlaces(const TablePort& aTable)
{
  const auto rows = aTable.mScan(kDataCentrePrefix);
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  Rows present;
  for (const TableRow& row : ValueOf(rows)) {
    present[row.mKey] = row;
  }
  return present;
}

void
PlanNew(const DataCentreLocation& aPlace,
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

Outcome<Done>
PlanKept(const DataCentreLocation& aPlace,
         const TableRow& aRow,
         const Author& aAuthor,
         ChangePlan& aPlan)
{
  const Outcome<DataCentre> present = ParseDataCentreRow(aRow);
  if (!Succeeded(present)) {
    return ErrorOf(present);
  }
  if (ValueOf(present).mRegion == aPlace.mRegion) {
    return Done{};
  }
  const bool in = ValueOf(present).mState == DataCentreState::InService;
  aPlan.mConditions.push_back({ aRow.mKey, aRow.mVersion });
  aPlan.mWrites.push_back(
    { aRow.mKey,
      DataCentreRowValue(aPlace.mRegion, in ? "in" : "out", aAuthor) });
  aPlan.mChanges.push_back(aPlace.mDataCentre + ": region " +
                           ValueOf(present).mRegion + " -> " + aPlace.mRegion);
  return Done{};
}

Outcome<Done>
PlanRemoved(const TableRow& aRow, ChangePlan& aPlan)
{
  const Outcome<DataCentre> present = ParseDataCentreRow(aRow);
  if (!Succeeded(present)) {
    return ErrorOf(present);
  }
  const std::string& name = ValueOf(present).mName;
  if (ValueOf(present).mState == DataCentreState::InService) {
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
PlanPlaces(const TablePort& aTable,
           const Author& aAuthor,
           const ApplyRequest& aRequest)
{
  const Outcome<PlacesDocument> parsed =
    ParsePlacesDocument(aRequest.mFile, aRequest.mText);
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  Outcome<Rows> read = ReadPlaces(aTable);
  if (!Succeeded(read)) {
    return ErrorOf(read);
  }
  Rows& present = ValueOf(read);
  ChangePlan plan;
  plan.mWhat = "places";
  for (const DataCentreLocation& place : ValueOf(parsed).mDataCentres) {
    const std::string key = kDataCentrePrefix + place.mDataCentre;
    const auto found = present.find(key);
    if (found == present.end()) {
      PlanNew(place, key, aAuthor, plan);
      continue;
    }
    const Outcome<Done> planned = PlanKept(place, found->second, aAuthor, plan);
    if (!Succeeded(planned)) {
      return ErrorOf(planned);
    }
    present.erase(found);
  }
  for (const auto& [key, row] : present) {
    const Outcome<Done> planned = PlanRemoved(row, plan);
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
