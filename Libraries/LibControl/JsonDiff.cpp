#include <LibControl/JsonDiff.h>

#include <map>
#include <set>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Values that are neither objects nor arrays, or are empty ones, as JSON text
/// by path.
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

/// Adds all leaves of a value; null counts as absent.
/// @param aPath path of the value
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

/// @return the text of a leaf, or "(none)" if there is none at this path
std::string
LeafText(const Leaves& aLeaves, const std::string& aPath)
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
    const std::string previous = LeafText(before, path);
    const std::string current = LeafText(after, path);
    if (previous != current) {
      lines.push_back(DiffLine(path, previous, current));
    }
  }
  return lines;
}

} // namespace paddle
