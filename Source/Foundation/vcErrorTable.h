#pragma once

/// Enumerations with tables of names, and error categories made from them.

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace verbenacroft {

/// One row of a table of names.
template<class Enum>
struct NameRow
{
  Enum mValue;
  std::string_view mName;
};

/// Specialised for each enumeration that has names: `kRows`.
template<class Enum>
struct EnumTable;

template<class Enum>
concept NamedEnum = requires
{
  EnumTable<Enum>::kRows;
};

/// Name of `aValue`, or "invalid" for a value outside the table.
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

/// Value named `aName`, or nothing.
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

/// Error category whose messages are the table of names of `Enum`.
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

/// `std::error_code` for a named error of a layer.
template<NamedEnum Enum>
std::error_code MakeError(Enum aValue)
{
  static const TableCategory<Enum> category;
  return { static_cast<int>(aValue), category };
}

} // namespace verbenacroft
