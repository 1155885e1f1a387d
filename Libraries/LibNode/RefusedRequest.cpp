#include <LibNode/RefusedRequest.h>

#include <algorithm>

#include <LibBase/Log.h>

namespace paddle {

namespace {

/// Bounds on texts in a line, in bytes. The client chooses them, and the head
/// of a request may take 16 KB; those of real clients are shorter than this.
constexpr std::size_t kMaxTextBytes = 120;
constexpr std::size_t kMaxMethodBytes = 16;
/// Interval of lines with the same cause and account.
constexpr Seconds kLineInterval{ 1 };
/// Marks a text that was shortened.
constexpr std::string_view kEllipsis = "...";

/// @return the cause as it appears in a line
const char*
NameOf(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::NoConfiguration:
      return "no_configuration";
    case RefusalCause::PendingUnknown:
      return "pending_unknown";
    case RefusalCause::UnknownRoute:
      return "unknown_route";
    case RefusalCause::InvalidJobId:
      return "invalid_job_id";
    case RefusalCause::InvalidJob:
      return "invalid_job";
    case RefusalCause::Method:
      return "method";
    case RefusalCause::KeyUnknown:
      return "key_unknown";
    case RefusalCause::KeyMissing:
      return "key_missing";
    case RefusalCause::CopyTooOld:
      return "copy_too_old";
    case RefusalCause::OtherAccount:
      return "other_account";
  }
  return "unknown";
}

/// @return the text in printable ASCII and at most @p aMaxBytes long, without
///         the mark of a shortened text
std::string
Printable(std::string_view aText, std::size_t aMaxBytes)
{
  std::string text(aText.substr(0, aMaxBytes));
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aByte) { return aByte < ' ' || aByte > '~'; },
    '?');
  if (aText.size() > aMaxBytes) {
    text += kEllipsis;
  }
  return text;
}

} // namespace

std::string
FormatConfigurationCopy(const ConfigurationCopy& aCopy)
{
  return FormatFields(
    { { "version", aCopy.mVersion },
      { "configuration_age_ms",
        aCopy.mAge ? std::to_string(aCopy.mAge->count()) : "none" } });
}

std::string
FormatRefusedRequest(const RefusedRequest& aRequest,
                     const ConfigurationCopy& aCopy)
{
  std::string fields =
    FormatFields({ { "status", aRequest.mStatus },
                   { "cause", NameOf(aRequest.mCause) },
                   { "method", Printable(aRequest.mMethod, kMaxMethodBytes) },
                   { "host", Printable(aRequest.mHost, kMaxTextBytes) },
                   { "path", Printable(aRequest.mPath, kMaxTextBytes) } });
  const auto add = [&](const char* aName, std::string_view aText) {
    if (!aText.empty()) {
      fields += ' ' + FormatFields({ { aName, PrintableText(aText) } });
    }
  };
  add("message", aRequest.mMessage);
  add("account", aRequest.mAccount);
  add("route", aRequest.mRoute);
  return fields + ' ' + FormatConfigurationCopy(aCopy);
}

bool
IsLimitedByAccount(RefusalCause aCause)
{
  return aCause == RefusalCause::KeyUnknown ||
         aCause == RefusalCause::KeyMissing ||
         aCause == RefusalCause::CopyTooOld ||
         aCause == RefusalCause::OtherAccount;
}

RefusalCause
CauseOf(CallVerdict aVerdict)
{
  switch (aVerdict) {
    case CallVerdict::KeyUnknown:
      return RefusalCause::KeyUnknown;
    case CallVerdict::CopyTooOld:
      return RefusalCause::CopyTooOld;
    case CallVerdict::KeyMissing:
    case CallVerdict::Admitted:
      break;
  }
  return RefusalCause::KeyMissing;
}

bool
TakeLine(RefusalLimit& aLimit,
         RefusalCause aCause,
         std::string_view aAccount,
         MonotonicTime aNow)
{
  const auto [entry, isNew] = aLimit.mEntries.try_emplace(
    { aCause, std::string(aAccount) }, RefusalLimit::Entry{ aNow });
  if (isNew) {
    return true;
  }
  ++entry->second.mLeftOut;
  return false;
}

std::vector<LeftOutRefusals>
TakeLeftOut(RefusalLimit& aLimit, MonotonicTime aNow)
{
  std::vector<LeftOutRefusals> leftOut;
  const auto isOver = [&](const RefusalLimit::Entry& aEntry) {
    return aNow - aEntry.mWrittenAt >= kLineInterval;
  };
  for (auto& [name, entry] : aLimit.mEntries) {
    if (isOver(entry) && entry.mLeftOut > 0) {
      leftOut.push_back({ name.first, name.second, entry.mLeftOut });
      entry = { aNow, 0 };
    }
  }
  std::erase_if(aLimit.mEntries,
                [&](const auto& aEntry) { return isOver(aEntry.second); });
  return leftOut;
}

std::string
FormatLeftOut(const LeftOutRefusals& aLeftOut)
{
  std::string fields = FormatFields({ { "cause", NameOf(aLeftOut.mCause) } });
  if (!aLeftOut.mAccount.empty()) {
    fields +=
      ' ' + FormatFields({ { "account", PrintableText(aLeftOut.mAccount) } });
  }
  return fields + " left_out=" + std::to_string(aLeftOut.mCount);
}

std::string
PrintableText(std::string_view aText)
{
  return Printable(aText, kMaxTextBytes);
}

} // namespace paddle
