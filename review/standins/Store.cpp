#include "Store.h"

#include <algorithm>
#include <thread>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace review {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr const char* kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string
FromBase64(const std::string& aText)
{
  const std::string digits = kDigits;
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char digit : aText) {
    const std::size_t value = digits.find(digit);
    if (value == std::string::npos) {
      continue;
    }
    group = (group << 6) | static_cast<unsigned>(value);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>((group >> bits) & 0xff);
    }
  }
  return bytes;
}

std::string
TextOf(const Json& aObject, const char* aName)
{
  const auto found = aObject.FindMember(aName);
  return found != aObject.MemberEnd() && found->value.IsString()
           ? std::string(found->value.GetString(),
                         found->value.GetStringLength())
           : std::string();
}

std::string
Param(const Request& aRequest, const char* aName)
{
  const auto found = aRequest.mQuery.find(aName);
  return found == aRequest.mQuery.end() ? std::string() : found->second;
}

void
PutText(Writer& aWriter, const char* aName, const std::string& aText)
{
  aWriter.Key(aName);
  aWriter.String(aText.data(), static_cast<rapidjson::SizeType>(aText.size()));
}

void
PutRow(Writer& aWriter,
       const std::tuple<std::string, std::string, std::string>& aKey,
       const std::string& aValue,
       std::int64_t aVersion,
       bool aRemoved)
{
  aWriter.StartObject();
  PutText(aWriter, "table", std::get<0>(aKey));
  PutText(aWriter, "part", std::get<1>(aKey));
  PutText(aWriter, "key", std::get<2>(aKey));
  aWriter.Key("ver");
  aWriter.Int64(aVersion);
  if (aRemoved) {
    aWriter.Key("tombstone");
    aWriter.Bool(true);
  } else {
    PutText(aWriter, "value", aValue);
  }
  aWriter.EndObject();
}

} // namespace

std::string
ToBase64(const std::string& aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8) |
              (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                     : 0U);
    }
    const std::size_t count = std::min<std::size_t>(3, aBytes.size() - i) + 1;
    for (std::size_t j = 0; j < 4; ++j) {
      text += j < count ? kDigits[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

Store::Store(std::size_t aNodes)
{
  for (std::size_t i = 0; i < aNodes; ++i) {
    mServers.push_back(std::make_unique<HttpServer>(
      [this, i](const Request& aRequest) { return Handle(i, aRequest); }));
    mServers.back()->Listen(0);
  }
}

void
Store::SetFaults(FaultHook aHook)
{
  const std::lock_guard lock(mMutex);
  mFaults = std::move(aHook);
}

void
Store::SetCut(std::size_t aNode, bool aCut)
{
  const std::lock_guard lock(mMutex);
  if (aCut) {
    mCut.insert(aNode);
  } else {
    mCut.erase(aNode);
  }
}

bool
Store::IsCut(std::size_t aNode)
{
  const std::lock_guard lock(mMutex);
  return mCut.contains(aNode);
}

std::string
Store::Address(std::size_t aNode) const
{
  return mServers.at(aNode)->Address();
}

void
Store::Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  Write({ aTable, "", aKey }, ToBase64(aValue), false);
  mChanged.notify_all();
}

void
Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  ++mVersion;
  Write({ aTable, "", aKey }, {}, true);
  mChanged.notify_all();
}

std::string
Store::Find(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(mMutex);
  for (const auto& [key, row] : mRows) {
    if (std::get<0>(key) == aTable && std::get<2>(key) == aKey) {
      return FromBase64(row.mValue);
    }
  }
  return {};
}

std::size_t
Store::Transactions()
{
  const std::lock_guard lock(mMutex);
  return mTransactions;
}

std::int64_t
Store::NowMs() const
{
  constexpr std::int64_t kFirstReading = 100000;
  return kFirstReading +
         std::chrono::duration_cast<Ms>(Clock::now() - mBegin).count();
}

void
Store::Write(const Key& aKey, const std::string& aValue, bool aRemoved)
{
  if (aRemoved) {
    if (mRows.erase(aKey) == 0) {
      return;
    }
  } else {
    mRows[aKey] = { aValue, mVersion };
  }
  mChanges.push_back({ aKey, aValue, mVersion, aRemoved });
}

Response
Store::Handle(std::size_t aNode, const Request& aRequest)
{
  FaultHook faults;
  const bool writes = aRequest.mPath == "/savorypaddle/rows-tx";
  {
    const std::lock_guard lock(mMutex);
    faults = mFaults;
    mTransactions += writes ? 1 : 0;
  }
  const StoreFault fault =
    faults ? faults(aNode, aRequest, writes ? aRequest.mBody : std::string())
           : StoreFault{};
  if (IsCut(aNode)) {
    return { 0, {} };
  }
  if (fault.mStatus != 0) {
    return { fault.mStatus, "{}" };
  }
  std::this_thread::sleep_for(Ms(3));
  Response response{ 404, "{}" };
  if (writes) {
    if (fault.mApplied && fault.mAppliedAfter > Ms(0)) {
      std::thread([this, body = aRequest.mBody, wait = fault.mAppliedAfter] {
        std::this_thread::sleep_for(wait);
        Transact(body);
      }).detach();
    } else if (fault.mApplied) {
      response = Transact(aRequest.mBody);
    }
  } else if (fault.mAnswered && aRequest.mPath == "/savorypaddle/rows-get") {
    response = Get(aRequest);
  } else if (fault.mAnswered && aRequest.mPath == "/savorypaddle/rows-feed") {
    response = Feed(aRequest);
  }
  if (!fault.mAnswered || IsCut(aNode)) {
    response.mStatus = 0;
  }
  return response;
}

Response
Store::Get(const Request& aRequest)
{
  constexpr int kMostRows = 500;
  const std::lock_guard lock(mMutex);
  const std::string table = Param(aRequest, "table");
  const std::string part = Param(aRequest, "part");
  const std::string from = Param(aRequest, "from");
  const std::string to = Param(aRequest, "to");
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("rows");
  writer.StartArray();
  int count = 0;
  bool more = false;
  for (auto at = mRows.lower_bound({ table, part, from }); at != mRows.end();
       ++at) {
    const auto& [rowTable, rowPart, key] = at->first;
    if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
      break;
    }
    if (count == kMostRows) {
      more = true;
      break;
    }
    ++count;
    PutRow(writer, at->first, at->second.mValue, at->second.mVersion, false);
  }
  writer.EndArray();
  writer.Key("has_more");
  writer.Bool(more);
  writer.Key("ver");
  writer.Int64(mVersion);
  writer.Key("now_ms");
  writer.Int64(NowMs());
  writer.EndObject();
  return { 200, buffer.GetString() };
}

Response
Store::Feed(const Request& aRequest)
{
  const std::string table = Param(aRequest, "table");
  const std::int64_t after = std::atoll(Param(aRequest, "after").c_str());
  const auto until =
    Clock::now() + Ms(std::atoll(Param(aRequest, "wait_ms").c_str()));
  std::unique_lock lock(mMutex);
  const auto first = [&] {
    return std::find_if(
      mChanges.begin(), mChanges.end(), [&](const Change& aChange) {
        return aChange.mVersion > after && std::get<0>(aChange.mKey) == table;
      });
  };
  mChanged.wait_until(lock, until, [&] { return first() != mChanges.end(); });
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("rows");
  writer.StartArray();
  for (auto at = first(); at != mChanges.end(); ++at) {
    if (std::get<0>(at->mKey) == table) {
      PutRow(writer, at->mKey, at->mValue, at->mVersion, at->mRemoved);
    }
  }
  writer.EndArray();
  writer.Key("ver");
  writer.Int64(mVersion);
  writer.Key("now_ms");
  writer.Int64(NowMs());
  writer.EndObject();
  return { 200, buffer.GetString() };
}

Response
Store::Transact(const std::string& aBody)
{
  rapidjson::Document body;
  body.Parse(aBody.data(), aBody.size());
  if (body.HasParseError() || !body.IsObject()) {
    return { 400, "{}" };
  }
  const auto keyOf = [](const Json& aEntry) {
    return Key{ TextOf(aEntry, "table"),
                TextOf(aEntry, "part"),
                TextOf(aEntry, "key") };
  };
  const std::lock_guard lock(mMutex);
  bool holds = true;
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("rows");
  writer.StartArray();
  for (const Json& check : body["expected_rev"].GetArray()) {
    const Key key = keyOf(check);
    const auto found = mRows.find(key);
    const std::int64_t version =
      found == mRows.end() ? 0 : found->second.mVersion;
    holds = holds && version == check["ver"].GetInt64();
    if (found != mRows.end()) {
      PutRow(writer, key, found->second.mValue, version, false);
    }
  }
  writer.EndArray();
  writer.Key("ver");
  writer.Int64(holds ? mVersion + 1 : mVersion);
  writer.Key("now_ms");
  writer.Int64(NowMs());
  writer.EndObject();
  if (!holds) {
    return { 412, buffer.GetString() };
  }
  ++mVersion;
  for (const Json& put : body["puts"].GetArray()) {
    Write(keyOf(put), TextOf(put, "value"), false);
  }
  for (const Json& key : body["remove"].GetArray()) {
    Write(keyOf(key), {}, true);
  }
  mChanged.notify_all();
  return { 200, buffer.GetString() };
}

} // namespace review
