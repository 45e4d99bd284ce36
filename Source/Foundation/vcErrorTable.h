#pragma once

/// Names of enumerators, kept in one table for each enumeration, and error
/// categories whose messages come from these tables.

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace verbenacroft {

/// An enumerator and its name.
template<class Enum>
struct NameRow
{
  Enum mValue;
  std::string_view mName;
};

/// Specialised for each enumeration that has names. `kRows` is an array of
/// `NameRow`; `kCategory` is the name of the error category and is needed only
/// for enumerations that are passed to `MakeError`.
template<class Enum>
struct EnumTable;

/// An enumeration with a specialisation of `EnumTable`.
template<class Enum>
concept NamedEnum = requires
{
  EnumTable<Enum>::kRows;
};

/// Name of `aValue`, or "invalid" if the table has no such value.
template<NamedEnum Enum>
constexpr std::string_view NameOf(Enum aValue)
{
  for (const auto& row : EnumTable<Enum>::kRows) {
    if (row.mValue == aValue) {
      return row.mName;
    }
  }
  return "invalid";
}

/// Value named `aName`, or nothing if the table has no such name.
template<NamedEnum Enum>
constexpr std::optional<Enum> ValueOf(std::string_view aName)
{
  for (const auto& row : EnumTable<Enum>::kRows) {
    if (row.mName == aName) {
      return row.mValue;
    }
  }
  return std::nullopt;
}

/// Error category whose messages are the names of the enumerators of `Enum`.
template<NamedEnum Enum>
class TableCategory : public std::error_category
{
public:
  const char* name() const noexcept override
  {
    return EnumTable<Enum>::kCategory;
  }
  std::string message(int aCode) const override
  {
    return std::string(NameOf(static_cast<Enum>(aCode)));
  }
};

/// Error code with the value `aValue` in the category of `Enum`.
template<NamedEnum Enum>
std::error_code MakeError(Enum aValue)
{
  static const TableCategory<Enum> category;
  return { static_cast<int>(aValue), category };
}

} // namespace verbenacroft
