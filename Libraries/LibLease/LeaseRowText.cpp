#include <LibLease/LeaseRowText.h>

#include <json/json.h>
#include <memory>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Stored texts of ShardAcquisition, in the order of its values.
constexpr const char* kAcquisitions[] = { "first",
                                          "hand-over",
                                          "successor",
                                          "takeover" };

Json::Value
MemberToJson(const LeaseMember& aMember)
{
  Json::Value out(Json::objectValue);
  out["name"] = aMember.mName;
  out["incarnation"] = aMember.mIncarnation;
  out["role"] = aMember.mRole;
  out["dataCentre"] = aMember.mDataCentre;
  out["region"] = aMember.mRegion;
  out["address"] = aMember.mAddress;
  out["generation"] = Json::UInt64(aMember.mGeneration);
  return out;
}

LeaseMember
MemberFromJson(const Json::Value& aMember)
{
  return { aMember["name"].asString(),      aMember["incarnation"].asString(),
           aMember["role"].asString(),      aMember["dataCentre"].asString(),
           aMember["region"].asString(),    aMember["address"].asString(),
           aMember["generation"].asUInt64() };
}

std::string
SessionText(const SessionRecord& aRecord)
{
  Json::Value out = MemberToJson(aRecord.mMember);
  out["renewals"] = Json::UInt64(aRecord.mRenewals);
  out["successor"] = aRecord.mSuccessor;
  out["successorIncarnation"] = aRecord.mSuccessorIncarnation;
  out["termMs"] = Json::Int64(aRecord.mTerm.count());
  out["foreignTakeoverWaitMs"] =
    Json::Int64(aRecord.mForeignTakeoverWait.count());
  out["leaving"] = aRecord.mLeaving;
  return WriteJson(out);
}

std::string
ShardText(const ShardRecord& aRecord)
{
  Json::Value out(Json::objectValue);
  out["owner"] = MemberToJson(aRecord.mOwner);
  out["epoch"] = Json::UInt64(aRecord.mEpoch);
  out["acquisition"] = kAcquisitions[static_cast<int>(aRecord.mAcquisition)];
  return WriteJson(out);
}

ShardAcquisition
AcquisitionFromText(const std::string& aText)
{
  for (int i = 0; i < 3; ++i) {
    if (aText == kAcquisitions[i]) {
      return static_cast<ShardAcquisition>(i);
    }
  }
  // An unknown text counts as a takeover, for which the fewest assumptions
  // hold.
  return ShardAcquisition::Takeover;
}

/// Parses the JSON text of a row and converts it. A member of the wrong type is
/// an error.
template<typename Record, typename Convert>
Outcome<Record>
ParseRow(const std::string& aText, const char* aKind, Convert aConvert)
{
  Json::Value root;
  std::string errors;
  // The builder is static, because its construction takes longer than parsing a
  // row.
  static const Json::CharReaderBuilder sBuilder;
  const std::unique_ptr<Json::CharReader> reader(sBuilder.newCharReader());
  try {
    // jsoncpp throws if values are nested deeper than its stack limit.
    if (!reader->parse(
          aText.data(), aText.data() + aText.size(), &root, &errors) ||
        !root.isObject()) {
      return Error{ ErrorKind::Internal,
                    std::string("malformed ") + aKind + " row: " + errors };
    }
    return aConvert(root);
  } catch (const Json::Exception& e) {
    return Error{ ErrorKind::Internal,
                  std::string("malformed ") + aKind + " row: " + e.what() };
  }
}

} // namespace

std::optional<std::string>
LeaseRowText(const LeaseRowValue& aValue)
{
  if (const auto* session = std::get_if<SessionRecord>(&aValue)) {
    return SessionText(*session);
  }
  if (const auto* shard = std::get_if<ShardRecord>(&aValue)) {
    return ShardText(*shard);
  }
  if (std::holds_alternative<RowTouch>(aValue)) {
    return std::string();
  }
  return std::nullopt;
}

Outcome<SessionRecord>
ParseSessionRecord(const std::string& aText)
{
  return ParseRow<SessionRecord>(aText, "session", [](const Json::Value& aRow) {
    SessionRecord record;
    record.mMember = MemberFromJson(aRow);
    record.mRenewals = aRow["renewals"].asUInt64();
    record.mSuccessor = aRow["successor"].asString();
    record.mSuccessorIncarnation = aRow["successorIncarnation"].asString();
    record.mTerm = Millis(aRow["termMs"].asInt64());
    record.mForeignTakeoverWait =
      Millis(aRow["foreignTakeoverWaitMs"].asInt64());
    record.mLeaving = aRow["leaving"].asBool();
    return record;
  });
}

Outcome<ShardRecord>
ParseShardRecord(const std::string& aText)
{
  return ParseRow<ShardRecord>(aText, "shard", [](const Json::Value& aRow) {
    ShardRecord record;
    record.mOwner = MemberFromJson(aRow["owner"]);
    record.mEpoch = aRow["epoch"].asUInt64();
    record.mAcquisition = AcquisitionFromText(aRow["acquisition"].asString());
    return record;
  });
}

Outcome<ReleaseRecord>
ParseReleaseRecord(const std::string& aText)
{
  return ParseRow<ReleaseRecord>(aText, "release", [](const Json::Value& aRow) {
    return ReleaseRecord{ aRow["incarnation"].asString() };
  });
}

} // namespace paddle
