#include <LibDocument/DecisionRecord.h>

#include <array>
#include <cstdio>
#include <optional>

#include <LibBase/JsonReader.h>
#include <LibTime/Time.h>

namespace paddle {

namespace {

/// Stored names of the values of Decision, in the order of the enum.
constexpr std::array<const char*, 5> kDecisionNames{ "served",
                                                     "delayed",
                                                     "evicted",
                                                     "refused",
                                                     "unknown" };
/// Stored names of the values of SubjectKind, in the order of the enum.
constexpr std::array<const char*, 2> kSubjectKindNames{ "request", "job" };

/// @return the index of the string @p aValue in @p aNames, or nothing if it is
///         not one of them
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

/// @return the error for a JSON member that is missing or has a wrong value
Error
MemberError(const char* aMember)
{
  return Error{ ErrorKind::Internal,
                std::string("member \"") + aMember +
                  "\" of a decision record is missing or wrong" };
}

/// Sets a string member; an empty text is left out.
void
SetUnlessEmpty(Json::Value& aObject,
               const char* aMember,
               const std::string& aText)
{
  if (!aText.empty()) {
    aObject[aMember] = aText;
  }
}

/// @return the member as a string, empty if it is absent or not a string
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
  value["decision"] =
    kDecisionNames[static_cast<std::size_t>(aRecord.mDecision)];
  value["kind"] =
    kSubjectKindNames[static_cast<std::size_t>(aRecord.mSubjectKind)];
  value["subject"] = aRecord.mSubject;
  value["rule"] = aRecord.mRule;
  SetUnlessEmpty(value, "service", aRecord.mService);
  SetUnlessEmpty(value, "customer", aRecord.mClientAccount);
  SetUnlessEmpty(value, "team", aRecord.mTeam);
  SetUnlessEmpty(value, "whatWouldHaveChangedIt", aRecord.mCounterfactual);
  for (const auto& [name, number] : aRecord.mFigures) {
    value["figures"][name] = number;
  }
  return value;
}

Outcome<DecisionRecord>
DecisionRecordFromJson(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["timeUs"].isInt64()) {
    return MemberError("timeUs");
  }
  const auto decision = IndexOf(kDecisionNames, aValue["decision"]);
  if (!decision) {
    return MemberError("decision");
  }
  const auto kind = IndexOf(kSubjectKindNames, aValue["kind"]);
  if (!kind) {
    return MemberError("kind");
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
  record.mClientAccount = TextOf(aValue, "customer");
  record.mTeam = TextOf(aValue, "team");
  record.mCounterfactual = TextOf(aValue, "whatWouldHaveChangedIt");
  const Json::Value& figures = aValue["figures"];
  if (!figures.isNull() && !figures.isObject()) {
    return MemberError("figures");
  }
  for (const std::string& name : figures.getMemberNames()) {
    if (!figures[name].isNumeric()) {
      return MemberError("figures");
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
