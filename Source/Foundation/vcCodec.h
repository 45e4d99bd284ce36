#pragma once

/// JSON codec for structs described with Boost.Describe. The member `mMaxBytes`
/// has the key "maxBytes". Decoding reports all faults, each with its path, and
/// keeps the default of a member whose key is missing. Encoding omits members
/// that are equal to their defaults, which keeps messages small.

#include "vcErrorTable.h"

#include <boost/describe.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace verbenacroft {

/// An error in a JSON document.
struct Fault
{
  /// Path of the value, such as "$.ports[0]", or "line N" for a syntax error.
  std::string mPath;
  /// Text of the value that was found, or a description of the error.
  std::string mFound;
  /// Description of the allowed values.
  std::string mAllowed;
};
BOOST_DESCRIBE_STRUCT(Fault, (), (mPath, mFound, mAllowed))

using Faults = std::vector<Fault>;

/// Text of a fault for users: "PATH: found X, allowed: Y".
std::string Describe(const Fault& aFault);

/// JSON key of the described member `aMember`: its name without the prefix "m",
/// with a lower-case first letter.
std::string MemberKey(const char* aMember);

/// JSON text of `aValue` for messages, shortened if it is long.
std::string AbbreviatedJson(const boost::json::value& aValue);

/// Parses JSON with comments and trailing commas. A syntax error is reported as
/// a fault with the path "line N", and nothing is returned.
std::optional<boost::json::value> ParseJson(std::string_view aText,
                                            Faults& aFaults);

/// A class whose members are listed with BOOST_DESCRIBE_STRUCT.
template<class T>
concept DescribedStruct =
  std::is_class_v<T> && boost::describe::has_describe_members<T>::value;

/// True for `std::vector`.
template<class T>
struct IsVector : std::false_type
{
};
template<class T>
struct IsVector<std::vector<T>> : std::true_type
{
};
/// True for `std::map` with strings as keys.
template<class T>
struct IsMap : std::false_type
{
};
template<class T>
struct IsMap<std::map<std::string, T>> : std::true_type
{
};
/// True for `std::optional`.
template<class T>
struct IsOptional : std::false_type
{
};
template<class T>
struct IsOptional<std::optional<T>> : std::true_type
{
};

/// List of the described members of `T`.
template<class T>
using MembersOf =
  boost::describe::describe_members<T, boost::describe::mod_any_access>;

/// Decodes `aJson` into `aOut` and appends a fault for each value that is not
/// allowed. Durations are integers in milliseconds, and enumerators are their
/// names. Unknown keys of an object are faults. A vector is replaced. A map
/// keeps its entries, and those whose keys are in `aJson` are updated.
/// @param aPath path of `aJson` in the document, for faults
template<class T>
void DecodeInto(const boost::json::value& aJson,
                const std::string& aPath,
                T& aOut,
                Faults& aFaults);

/// JSON value of `aValue`, in the form that `DecodeInto` reads. Members that
/// are equal to their defaults are omitted; any other empty optional becomes
/// null, which `DecodeInto` does not read back as an empty optional.
template<class T>
boost::json::value EncodeValue(const T& aValue);

namespace detail {

/// Decodes an integer that must lie in the range of `T`.
template<std::integral T>
void DecodeInteger(const boost::json::value& aJson,
                   const std::string& aPath,
                   T& aOut,
                   Faults& aFaults)
{
  boost::system::error_code error;
  const T number = aJson.to_number<T>(error);
  const bool isInteger = aJson.is_int64() || aJson.is_uint64();
  if (error || !isInteger) {
    aFaults.push_back({ aPath,
                        AbbreviatedJson(aJson),
                        "an integer of at least " +
                          std::to_string(std::numeric_limits<T>::min()) +
                          " and at most " +
                          std::to_string(std::numeric_limits<T>::max()) });
    return;
  }
  aOut = number;
}

/// Lists the names of the enumerators of `E` for a fault.
template<class E>
std::string AllowedNames()
{
  std::string text = "one of";
  for (const auto& row : EnumTable<E>::kRows) {
    text += " \"" + std::string(row.mName) + "\"";
  }
  return text;
}

/// Decodes an enumerator from its name.
template<class E>
void DecodeEnum(const boost::json::value& aJson,
                const std::string& aPath,
                E& aOut,
                Faults& aFaults)
{
  if (aJson.is_string()) {
    const auto value = ValueOf<E>(std::string_view(aJson.get_string()));
    if (value) {
      aOut = *value;
      return;
    }
  }
  aFaults.push_back({ aPath, AbbreviatedJson(aJson), AllowedNames<E>() });
}

/// Decodes one member of an object.
/// @return true if the object has the key of the member
template<class T>
bool DecodeMember(const boost::json::object& aObject,
                  const char* aMember,
                  const std::string& aPath,
                  T& aOut,
                  Faults& aFaults)
{
  const std::string key = MemberKey(aMember);
  const auto* found = aObject.if_contains(key);
  if (found == nullptr) {
    return false;
  }
  DecodeInto(*found, aPath + "." + key, aOut, aFaults);
  return true;
}

/// Lists the keys of `T` for a fault.
template<class T>
std::string AllowedKeys()
{
  std::string text = "one of the keys";
  boost::mp11::mp_for_each<MembersOf<T>>(
    [&](auto aMember) { text += " " + MemberKey(aMember.name); });
  return text;
}

/// True if a member of `T` has the key `aKey`.
template<class T>
bool IsKeyOf(std::string_view aKey)
{
  bool isKnown = false;
  boost::mp11::mp_for_each<MembersOf<T>>([&](auto aMember) {
    isKnown = isKnown || MemberKey(aMember.name) == aKey;
  });
  return isKnown;
}

/// Decodes an object into the described members of `aOut`. Unknown keys are
/// faults.
template<class T>
void DecodeStruct(const boost::json::value& aJson,
                  const std::string& aPath,
                  T& aOut,
                  Faults& aFaults)
{
  const auto* object = aJson.if_object();
  if (object == nullptr) {
    aFaults.push_back({ aPath, AbbreviatedJson(aJson), "an object" });
    return;
  }
  std::size_t knownKeys = 0;
  boost::mp11::mp_for_each<MembersOf<T>>([&](auto aMember) {
    knownKeys += DecodeMember(
      *object, aMember.name, aPath, aOut.*aMember.pointer, aFaults);
  });
  if (knownKeys == object->size()) {
    return;
  }
  for (const auto& entry : *object) {
    const std::string_view key = entry.key();
    if (!IsKeyOf<T>(key)) {
      aFaults.push_back(
        { aPath + "." + std::string(key), "unknown key", AllowedKeys<T>() });
    }
  }
}

} // namespace detail

template<class T>
void DecodeInto(const boost::json::value& aJson,
                const std::string& aPath,
                T& aOut,
                Faults& aFaults)
{
  if constexpr (std::is_same_v<T, bool>) {
    if (!aJson.is_bool()) {
      aFaults.push_back({ aPath, AbbreviatedJson(aJson), "true or false" });
      return;
    }
    aOut = aJson.get_bool();
  } else if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
    std::int64_t count = 0;
    detail::DecodeInteger(aJson, aPath, count, aFaults);
    aOut = std::chrono::milliseconds(count);
  } else if constexpr (std::is_integral_v<T>) {
    detail::DecodeInteger(aJson, aPath, aOut, aFaults);
  } else if constexpr (std::is_floating_point_v<T>) {
    if (!aJson.is_number()) {
      aFaults.push_back({ aPath, AbbreviatedJson(aJson), "a number" });
      return;
    }
    aOut = aJson.to_number<T>();
  } else if constexpr (NamedEnum<T>) {
    detail::DecodeEnum(aJson, aPath, aOut, aFaults);
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (!aJson.is_string()) {
      aFaults.push_back({ aPath, AbbreviatedJson(aJson), "a string" });
      return;
    }
    aOut = std::string(aJson.get_string());
  } else if constexpr (std::is_same_v<T, boost::json::value>) {
    aOut = aJson;
  } else if constexpr (IsOptional<T>::value) {
    typename T::value_type inner{};
    DecodeInto(aJson, aPath, inner, aFaults);
    aOut = std::move(inner);
  } else if constexpr (IsVector<T>::value) {
    const auto* array = aJson.if_array();
    if (array == nullptr) {
      aFaults.push_back({ aPath, AbbreviatedJson(aJson), "an array" });
      return;
    }
    aOut.clear();
    for (std::size_t i = 0; i < array->size(); ++i) {
      typename T::value_type inner{};
      const std::string path = aPath + "[" + std::to_string(i) + "]";
      DecodeInto((*array)[i], path, inner, aFaults);
      aOut.push_back(std::move(inner));
    }
  } else if constexpr (IsMap<T>::value) {
    const auto* object = aJson.if_object();
    if (object == nullptr) {
      aFaults.push_back({ aPath, AbbreviatedJson(aJson), "an object" });
      return;
    }
    for (const auto& entry : *object) {
      const std::string key = entry.key();
      DecodeInto(entry.value(), aPath + "." + key, aOut[key], aFaults);
    }
  } else {
    static_assert(DescribedStruct<T>);
    detail::DecodeStruct(aJson, aPath, aOut, aFaults);
  }
}

template<class T>
boost::json::value EncodeValue(const T& aValue)
{
  if constexpr (std::is_same_v<T, std::chrono::milliseconds>) {
    return aValue.count();
  } else if constexpr (std::is_arithmetic_v<T>) {
    return aValue;
  } else if constexpr (NamedEnum<T>) {
    const auto text = NameOf(aValue);
    return boost::json::string(text.data(), text.size());
  } else if constexpr (std::is_same_v<T, std::string>) {
    return boost::json::string(aValue);
  } else if constexpr (std::is_same_v<T, boost::json::value>) {
    return aValue;
  } else if constexpr (IsOptional<T>::value) {
    return aValue ? EncodeValue(*aValue) : boost::json::value(nullptr);
  } else if constexpr (IsVector<T>::value) {
    boost::json::array array;
    array.reserve(aValue.size());
    for (const auto& inner : aValue) {
      array.push_back(EncodeValue(inner));
    }
    return array;
  } else if constexpr (IsMap<T>::value) {
    boost::json::object object;
    for (const auto& [key, inner] : aValue) {
      object.emplace(key, EncodeValue(inner));
    }
    return object;
  } else {
    static_assert(DescribedStruct<T>);
    static const T defaults{};
    boost::json::object object;
    boost::mp11::mp_for_each<MembersOf<T>>([&](auto aMember) {
      const auto& member = aValue.*aMember.pointer;
      const auto& defaultMember = defaults.*aMember.pointer;
      auto encoded = EncodeValue(member);
      if (encoded != EncodeValue(defaultMember)) {
        object.emplace(MemberKey(aMember.name), std::move(encoded));
      }
    });
    return object;
  }
}

/// JSON text of `aValue`.
template<class T>
std::string Encode(const T& aValue)
{
  return boost::json::serialize(EncodeValue(aValue));
}

/// Decodes the JSON text `aText`. If there are faults, the result is incomplete
/// and must not be used.
template<class T>
T Decode(std::string_view aText, Faults& aFaults)
{
  T out{};
  const auto json = ParseJson(aText, aFaults);
  if (json) {
    DecodeInto(*json, "$", out, aFaults);
  }
  return out;
}

/// Decodes the JSON text `aText`. Returns nothing if there are faults.
template<class T>
std::optional<T> TryDecode(std::string_view aText)
{
  Faults faults;
  T out = Decode<T>(aText, faults);
  if (!faults.empty()) {
    return std::nullopt;
  }
  return out;
}

} // namespace verbenacroft
