// A configuration as named objects in TOML, with versions and the differences between them.
#pragma once

#include "egretturn/Config/Model.h"
#include "egretturn/Support/Error.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretturn {

enum class ObjectKind
{
  Zone,
  Pool,
  Service,
  Kind,
  Team,
  Rule,
  Drain,
  Policy,
};

/// Returns the name of \p aKind, which is also its table in a file.
std::string_view NameOf(ObjectKind aKind);

/// Returns the kind named \p aName, or nothing.
std::optional<ObjectKind> ParseObjectKind(std::string_view aName);

struct ObjectKey
{
  ObjectKind m_kind = ObjectKind::Zone;
  std::string m_name;

  std::strong_ordering operator<=>(const ObjectKey&) const = default;

  /// "kind.name", as in files and messages.
  std::string Text() const;
};

/// One object put (with its TOML text) or deleted (without).
struct ObjectChange
{
  ObjectKind m_kind = ObjectKind::Zone;
  std::string m_name;
  std::optional<std::string> m_body;

  template<typename Self, typename Visit>
  static void Fields(Self& aSelf, Visit&& aVisit)
  {
    aVisit("kind", aSelf.m_kind);
    aVisit("name", aSelf.m_name);
    aVisit("body", aSelf.m_body);
  }
};

/// Objects with their text in canonical form. Value type.
struct Document
{
  std::map<ObjectKey, std::string> m_objects;
};

/// Reads the objects of the TOML text \p aText; \p aFile names it in errors. Thread-safe.
/// Errors: bad_input for syntax and unknown kinds, all found in one pass.
tl::expected<Document, Errors> ParseDocument(std::string_view aText, std::string_view aFile);

/// The document as one TOML text. Thread-safe.
std::string PrintDocument(const Document& aDocument);

/// The changes that turn \p aFrom into \p aTo, in the order of the keys. Thread-safe.
std::vector<ObjectChange> Difference(const Document& aFrom, const Document& aTo);

/// Applies \p aChanges in order; deleting an absent object has no effect. Thread-safe.
void ApplyChanges(Document& aDocument, const std::vector<ObjectChange>& aChanges);

/// Reads every object and checks the whole set: types, ranges, references, cycles, duplicates and
/// sizes that cannot be met. Each error names object, field, reason and remedy. Thread-safe.
tl::expected<Model, Errors> CheckDocument(const Document& aDocument);

/// Checks how the objects of \p aModel refer to one another. Appends to \p aErrors. Thread-safe.
void ValidateReferences(const Model& aModel, Errors& aErrors);

} // namespace egretturn
