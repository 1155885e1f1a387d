#include <Scenarios/LuaJson.h>

namespace paddle {

namespace {

/// Converts elements 1 to N of the Lua table at @p aIndex to a JSON array.
Json::Value
ArrayAt(lua_State* aLua, int aIndex)
{
  Json::Value array(Json::arrayValue);
  const auto length = static_cast<lua_Integer>(lua_rawlen(aLua, aIndex));
  for (lua_Integer i = 1; i <= length; ++i) {
    lua_rawgeti(aLua, aIndex, i);
    array.append(JsonAt(aLua, -1));
    lua_pop(aLua, 1);
  }
  return array;
}

/// Converts the Lua table at @p aIndex to a JSON object.
/// @param aIndex absolute stack index, since the loop pushes values
Json::Value
ObjectAt(lua_State* aLua, int aIndex)
{
  Json::Value object(Json::objectValue);
  lua_pushnil(aLua);
  while (lua_next(aLua, aIndex) != 0) {
    // The key is copied before it is converted, because lua_tostring()
    // converts a number in place, which would break lua_next().
    lua_pushvalue(aLua, -2);
    object[lua_tostring(aLua, -1)] = JsonAt(aLua, -2);
    lua_pop(aLua, 2);
  }
  return object;
}

Json::Value
TableAt(lua_State* aLua, int aIndex)
{
  const bool isArray = lua_rawlen(aLua, aIndex) > 0;
  return isArray ? ArrayAt(aLua, aIndex) : ObjectAt(aLua, aIndex);
}

} // namespace

void
PushJson(lua_State* aLua, const Json::Value& aValue)
{
  if (aValue.isBool()) {
    lua_pushboolean(aLua, aValue.asBool() ? 1 : 0);
  } else if (aValue.isInt64()) {
    lua_pushinteger(aLua, aValue.asInt64());
  } else if (aValue.isNumeric()) {
    lua_pushnumber(aLua, aValue.asDouble());
  } else if (aValue.isString()) {
    const std::string text = aValue.asString();
    lua_pushlstring(aLua, text.data(), text.size());
  } else if (aValue.isArray()) {
    lua_newtable(aLua);
    for (Json::ArrayIndex i = 0; i < aValue.size(); ++i) {
      PushJson(aLua, aValue[i]);
      lua_rawseti(aLua, -2, static_cast<lua_Integer>(i) + 1);
    }
  } else if (aValue.isObject()) {
    lua_newtable(aLua);
    for (const std::string& name : aValue.getMemberNames()) {
      PushJson(aLua, aValue[name]);
      lua_setfield(aLua, -2, name.c_str());
    }
  } else {
    lua_pushnil(aLua);
  }
}

Json::Value
JsonAt(lua_State* aLua, int aIndex)
{
  const int index = lua_absindex(aLua, aIndex);
  switch (lua_type(aLua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(aLua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(aLua, index) != 0) {
        return static_cast<Json::Int64>(lua_tointeger(aLua, index));
      }
      return lua_tonumber(aLua, index);
    case LUA_TSTRING:
      return lua_tostring(aLua, index);
    case LUA_TTABLE:
      return TableAt(aLua, index);
    default:
      return Json::nullValue;
  }
}

} // namespace paddle
