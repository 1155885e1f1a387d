#include <LibDocument/DecisionRecord.h>

#include <array>
#include <cstdio>
#include <optional>

#include <LibBase/JsonReader.h>
#include <LibTime/Time.h>

namespace paddle {

namespace {

constexpr std::array<const char*, 5> kDecisions{ "served",
                                                 "delayed",
                                                 "evicted",
                                                 "refused",
                                                 "unknown" };
constexpr std::array<const char*, 2> kSubjectKinds{ "request", "job" };

template<std::size_t N>
std::optional<std::size_t>
IndexOf(const std::array<const char*, N>& aNames, const Json::Value& aValue)
{
  for (std::size_t i = 0; i < N; ++i) {
    if (aValue.isString() && aValue.asString() == aNames[i]) {
      return i;
    }
  }
  return std::nullopt;
}

Error
BadMember(const char* aMember)
{
  return Error{ ErrorKind::Internal,
                std::string("member \"") + aMember +
                  "\" of a decision record is missing or wrong" };
}

void
SetText(Json::Value& aObject, const char* aMember, const std::string& aText)
{
  if (!aText.empty()) {
    aObject[aMember] = aText;
  }
}

std::string
TextOf(const Json::Value& aObject, const char* aMember)
{
  const Json::Value& value = aObject[aMember];
  return value.isString() ? value.asString() : std::string();
}

} // namespace

Json::Value
ToJson(const DecisionRecord& aRecord)
{
  using std::chrono::duration_cast;
  Json::Value value(Json::objectValue);
  value["timeUs"] = static_cast<Json::Int64>(
    duration_cast<Micros>(aRecord.mTime.time_since_epoch()).count());
  value["member"] = aRecord.mMember;
  value["decision"] = kDecisions[static_cast<std::size_t>(aRecord.mDecision)];
  value["kind"] = kSubjectKinds[static_cast<std::size_t>(aRecord.mSubjectKind)];
  value["subject"] = aRecord.mSubject;
  value["rule"] = aRecord.mRule;
  SetText(value, "service", aRecord.mService);
  SetText(value, "customer", aRecord.mCustomer);
  SetText(value, "team", aRecord.mTeam);
  SetText(value, "whatWouldHaveChangedIt", aRecord.mWhatWouldHaveChangedIt);
  for (const auto& [name, number] : aRecord.mFigures) {
    value["figures"][name] = number;
  }
  return value;
}

Outcome<DecisionRecord>
DecisionRecordFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["timeUs"].isInt64()) {
    return BadMember("timeUs");
  }
  const auto decision = IndexOf(kDecisions, aValue["decision"]);
  if (!decision) {
    return BadMember("decision");
  }
  const auto kind = IndexOf(kSubjectKinds, aValue["kind"]);
  if (!kind) {
    return BadMember("kind");
  }
  DecisionRecord record;
  record.mTime =
    std::chrono::system_clock::time_point(Micros(aValue["timeUs"].asInt64()));
  record.mDecision = static_cast<Decision>(*decision);
  record.mSubjectKind = static_cast<SubjectKind>(*kind);
  record.mMember = TextOf(aValue, "member");
  record.mSubject = TextOf(aValue, "subject");
  record.mRule = TextOf(aValue, "rule");
  record.mService = TextOf(aValue, "service");
  record.mCustomer = TextOf(aValue, "customer");
  record.mTeam = TextOf(aValue, "team");
  record.mWhatWouldHaveChangedIt = TextOf(aValue, "whatWouldHaveChangedIt");
  const Json::Value& figures = aValue["figures"];
  if (!figures.isNull() && !figures.isObject()) {
    return BadMember("figures");
  }
  for (const std::string& name : figures.getMemberNames()) {
    if (!figures[name].isNumeric()) {
      return BadMember("figures");
    }
    record.mFigures[name] = figures[name].asDouble();
  }
  return record;
}

std::string
RecordObjectName(std::string_view aMember, std::uint64_t aSequence)
{
  std::array<char, 24> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%012llu",
                static_cast<unsigned long long>(aSequence));
  return "record/" + std::string(aMember) + "/" + digits.data();
}

std::string
EncodeRecords(const std::vector<DecisionRecord>& aRecords)
{
  Json::Value batch(Json::objectValue);
  batch["records"] = Json::Value(Json::arrayValue);
  for (const DecisionRecord& record : aRecords) {
    batch["records"].append(ToJson(record));
  }
  return WriteJson(batch);
}

Outcome<std::vector<DecisionRecord>>
DecodeRecords(std::string_view aName, std::string_view aBody)
{
  const Outcome<JsonText> parsed = ParseJsonText(aName, std::string(aBody));
  if (!Succeeded(parsed)) {
    return ErrorOf(parsed);
  }
  const Json::Value& root = ValueOf(parsed).mRoot;
  if (!root.isObject() || !root["records"].isArray()) {
    return Error{ ErrorKind::Internal,
                  std::string(aName) + " is not a batch of decision records" };
  }
  std::vector<DecisionRecord> records;
  for (const Json::Value& value : root["records"]) {
    Outcome<DecisionRecord> record = DecisionRecordFromJson(value);
    if (!Succeeded(record)) {
      return Error{ ErrorKind::Internal,
                    std::string(aName) + ": " + ErrorOf(record).mMessage };
    }
    records.push_back(std::move(ValueOf(record)));
  }
  return records;
}

} // namespace paddle
