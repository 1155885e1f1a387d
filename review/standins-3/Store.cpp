#include "Store.h"

#include <algorithm>
#include <chrono>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace review {

namespace {

/// Time that a transaction and a read take.
constexpr std::int64_t kTransactionMs = 4;

std::string
Base64(const std::string& aBytes)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group <<= 8;
      group |=
        i + j < aBytes.size() ? static_cast<std::uint8_t>(aBytes[i + j]) : 0U;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
        i + j <= aBytes.size() ? kDigits[(group >> (18 - 6 * j)) & 63U] : '=';
    }
  }
  return text;
}

std::string
Text(const rapidjson::Value& aObject, const char* aName)
{
  const auto member = aObject.FindMember(aName);
  return member != aObject.MemberEnd() && member->value.IsString()
           ? member->value.GetString()
           : std::string();
}

} // namespace

Store::Store()
  : mServer([this](const Request& aRequest) { return Handle(aRequest); })
{
}

std::string
Store::Tail() const
{
  return "\"ver\":" + std::to_string(mVersion) +
         ",\"now_ms\":" + std::to_string(SteadyMs()) + "}";
}

void
Store::Put(const Name& aName, const std::string& aValue)
{
  mRows[aName] = { aValue, mVersion };
  mHistory.push_back({ aName, mRows[aName], false });
}

void
Store::Erase(const Name& aName)
{
  if (mRows.erase(aName) > 0) {
    mHistory.push_back({ aName, { {}, mVersion }, true });
  }
}

void
Store::Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  Put({ aTable, {}, aKey }, Base64(aValue));
  mChanged.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  Erase({ aTable, {}, aKey });
  mChanged.notify_all();
}

Response
Store::Handle(const Request& aRequest)
{
  if (aRequest.mPath == "/savorypaddle/rows-feed") {
    return Feed(aRequest);
  }
  SleepMs(kTransactionMs);
  if (aRequest.mPath == "/savorypaddle/rows-tx") {
    return Transact(aRequest.mBody);
  }
  if (aRequest.mPath == "/savorypaddle/rows-get") {
    return Get(aRequest);
  }
  return { 404, "{}" };
}

namespace {

void
WriteRow(rapidjson::Writer<rapidjson::StringBuffer>& aWriter,
         const std::tuple<std::string, std::string, std::string>& aName,
         const std::string& aValue,
         std::int64_t aVersion,
         bool aRemoved)
{
  const auto& [table, part, key] = aName;
  aWriter.StartObject();
  aWriter.Key("table");
  aWriter.String(table.c_str());
  aWriter.Key("part");
  aWriter.String(part.c_str());
  aWriter.Key("key");
  aWriter.String(key.c_str());
  aWriter.Key("ver");
  aWriter.Int64(aVersion);
  if (aRemoved) {
    aWriter.Key("tombstone");
    aWriter.Bool(true);
  } else {
    aWriter.Key("value");
    aWriter.String(aValue.c_str());
  }
  aWriter.EndObject();
}

} // namespace

Response
Store::Transact(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.c_str());
  if (body.HasParseError() || !body.IsObject()) {
    return { 400, "{}" };
  }
  const auto nameOf = [](const rapidjson::Value& aEntry) {
    return Name{ Text(aEntry, "table"),
                 Text(aEntry, "part"),
                 Text(aEntry, "key") };
  };
  const std::lock_guard lock(mMutex);
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartArray();
  bool holds = true;
  if (body.HasMember("expected_rev")) {
    for (const rapidjson::Value& entry : body["expected_rev"].GetArray()) {
      const Name name = nameOf(entry);
      const auto row = mRows.find(name);
      const std::int64_t version =
        row == mRows.end() ? 0 : row->second.mVersion;
      holds = holds && version == entry["ver"].GetInt64();
      if (row != mRows.end()) {
        WriteRow(writer, name, row->second.mValue, version, false);
      }
    }
  }
  writer.EndArray();
  if (!holds) {
    return { 412,
             "{\"rows\":" + std::string(buffer.GetString()) + "," + Tail() };
  }
  ++mVersion;
  if (body.HasMember("puts")) {
    for (const rapidjson::Value& entry : body["puts"].GetArray()) {
      Put(nameOf(entry), Text(entry, "value"));
    }
  }
  if (body.HasMember("remove")) {
    for (const rapidjson::Value& entry : body["remove"].GetArray()) {
      Erase(nameOf(entry));
    }
  }
  mChanged.notify_all();
  return { 200, "{" + Tail() };
}

Response
Store::Get(const Request& aRequest)
{
  const auto field = [&](const char* aName) {
    const auto found = aRequest.mQuery.find(aName);
    return found == aRequest.mQuery.end() ? std::string() : found->second;
  };
  const std::string to = field("to");
  const std::lock_guard lock(mMutex);
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  writer.StartArray();
  const Name from{ field("table"), field("part"), field("from") };
  for (auto row = mRows.lower_bound(from); row != mRows.end(); ++row) {
    const auto& [table, part, key] = row->first;
    if (table != std::get<0>(from) || part != std::get<1>(from) ||
        (!to.empty() && key >= to)) {
      break;
    }
    WriteRow(
      writer, row->first, row->second.mValue, row->second.mVersion, false);
  }
  writer.EndArray();
  return { 200,
           "{\"rows\":" + std::string(buffer.GetString()) +
             ",\"has_more\":false," + Tail() };
}

Response
Store::Feed(const Request& aRequest)
{
  const std::string table = aRequest.mQuery.at("table");
  const std::int64_t after = std::stoll(aRequest.mQuery.at("after"));
  const auto wait = aRequest.mQuery.find("wait_ms");
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(wait == aRequest.mQuery.end()
                                                 ? 0
                                                 : std::stoll(wait->second));
  std::unique_lock lock(mMutex);
  for (;;) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartArray();
    bool any = false;
    const auto begin = std::partition_point(
      mHistory.begin(), mHistory.end(), [&](const Change& aChange) {
        return aChange.mRow.mVersion <= after;
      });
    for (auto change = begin; change != mHistory.end(); ++change) {
      if (std::get<0>(change->mName) == table) {
        WriteRow(writer,
                 change->mName,
                 change->mRow.mValue,
                 change->mRow.mVersion,
                 change->mRemoved);
        any = true;
      }
    }
    writer.EndArray();
    if (any || mChanged.wait_until(lock, until) == std::cv_status::timeout) {
      return { 200,
               "{\"rows\":" + std::string(buffer.GetString()) + "," + Tail() };
    }
  }
}

} // namespace review
