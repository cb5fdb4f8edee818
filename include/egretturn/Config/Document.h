// A configuration as a set of named TOML objects, and the changes between two configurations.
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

/// Kinds of objects in a configuration.
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

/// Returns the name of \p aKind, which is also the name of its table in a file.
std::string_view NameOf(ObjectKind aKind);

/// Returns the kind named \p aName, or nothing if there is none.
std::optional<ObjectKind> ParseObjectKind(std::string_view aName);

/// Identifies an object of a configuration.
struct ObjectKey
{
  ObjectKind m_kind = ObjectKind::Zone;
  std::string m_name;

  std::strong_ordering operator<=>(const ObjectKey&) const = default;

  /// Returns "kind.name", as used in files and messages.
  std::string Text() const;
};

/// A change that sets an object to the TOML text \c m_body, or deletes it if there is no text.
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

/// The objects of a configuration, each as TOML text in canonical form. Value type.
struct Document
{
  std::map<ObjectKey, std::string> m_objects;
};

/// Parses the objects in the TOML text \p aText. Error messages name the text \p aFile.
/// Thread-safe. Errors: bad_input for syntax errors and unknown kinds, all reported in one pass.
tl::expected<Document, Errors> ParseDocument(std::string_view aText, std::string_view aFile);

/// Formats the document as one TOML text. Thread-safe.
std::string PrintDocument(const Document& aDocument);

/// Returns the changes that turn \p aFrom into \p aTo: first the deletions and then the other
/// changes, each in the order of the keys. Thread-safe.
std::vector<ObjectChange> Difference(const Document& aFrom, const Document& aTo);

/// Applies \p aChanges in order. Deleting an absent object has no effect. Thread-safe.
void ApplyChanges(Document& aDocument, const std::vector<ObjectChange>& aChanges);

/// Parses every object and validates the whole set: types, ranges, references, cycles, duplicates
/// and sizes that no worker can satisfy. Each error names the object, the field, the reason and the
/// remedy. Thread-safe.
tl::expected<Model, Errors> CheckDocument(const Document& aDocument);

/// Validates the references between the objects of \p aModel and appends errors to \p aErrors.
/// Thread-safe.
void ValidateReferences(const Model& aModel, Errors& aErrors);

} // namespace egretturn
