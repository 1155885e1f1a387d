#include <LibControl/JsonDiff.h>

#include <map>
#include <set>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

using Leaves = std::map<std::string, std::string>;

std::string
MemberPath(const std::string& aPath, const std::string& aName)
{
  std::string path = aPath;
  if (!path.empty()) {
    path += '.';
  }
  path += aName;
  return path;
}

std::string
DiffLine(const std::string& aPath,
         const std::string& aBefore,
         const std::string& aAfter)
{
  std::string line = aPath;
  line += ": ";
  line += aBefore;
  line += " -> ";
  line += aAfter;
  return line;
}

void
CollectLeaves(const std::string& aPath,
              const Json::Value& aValue,
              Leaves& aLeaves)
{
  if (aValue.isObject() && !aValue.empty()) {
    for (const std::string& name : aValue.getMemberNames()) {
      CollectLeaves(MemberPath(aPath, name), aValue[name], aLeaves);
    }
    return;
  }
  if (aValue.isArray() && !aValue.empty()) {
    for (Json::ArrayIndex i = 0; i < aValue.size(); ++i) {
      CollectLeaves(aPath + "[" + std::to_string(i) + "]", aValue[i], aLeaves);
    }
    return;
  }
  if (!aValue.isNull()) {
    aLeaves[aPath] = WriteJson(aValue);
  }
}

std::string
Shown(const Leaves& aLeaves, const std::string& aPath)
{
  const auto found = aLeaves.find(aPath);
  return found == aLeaves.end() ? "(none)" : found->second;
}

} // namespace

std::vector<std::string>
JsonDiff(const Json::Value& aBefore, const Json::Value& aAfter)
{
  Leaves before;
  Leaves after;
  CollectLeaves("", aBefore, before);
  CollectLeaves("", aAfter, after);
  std::set<std::string> paths;
  for (const auto& [path, value] : before) {
    paths.insert(path);
  }
  for (const auto& [path, value] : after) {
    paths.insert(path);
  }
  std::vector<std::string> lines;
  for (const std::string& path : paths) {
    const std::string old = Shown(before, path);
    const std::string now = Shown(after, path);
    if (old != now) {
      lines.push_back(DiffLine(path, old, now));
    }
  }
  return lines;
}

} // namespace paddle
