#include "schemas.h"

#include "schematexts.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <map>
#include <memory>

namespace persimmon {

namespace {

using valijson::adapters::NlohmannJsonAdapter;

/// Returns the parsed schema. Parses each text once; the texts are string
/// constants, so the cache may refer to them.
const valijson::Schema &parsedSchema(std::string_view Text) {
  static std::map<std::string_view, std::unique_ptr<valijson::Schema>> Cache;
  auto &Slot = Cache[Text];
  if (!Slot) {
    Slot = std::make_unique<valijson::Schema>();
    const nlohmann::json Document = nlohmann::json::parse(Text);
    valijson::SchemaParser Parser;
    Parser.populateSchema(NlohmannJsonAdapter(Document), *Slot);
  }
  return *Slot;
}

} // namespace

leaf::result<void> checkAgainstSchema(const nlohmann::json &Document,
                                      std::string_view SchemaText,
                                      std::string_view Where, ResultCode Code) {
  valijson::Validator Validator;
  valijson::ValidationResults Results;
  const NlohmannJsonAdapter Adapter(Document);
  if (Validator.validate(parsedSchema(SchemaText), Adapter, &Results))
    return {};
  valijson::ValidationResults::Error Error;
  std::string Location(Where);
  std::string Reason;
  // The first error of the list has the innermost key.
  if (Results.popError(Error)) {
    for (const std::string &Part : Error.context)
      Location += Part == "<root>" ? "" : Part;
    Reason = Error.description;
  }
  return fail(Code, Location, Reason);
}

std::string_view serviceSchema() { return ServiceSchemaText; }

std::string_view routeSchema() { return RouteSchemaText; }

std::string_view accountSchema() { return AccountSchemaText; }

std::string_view accessSchema() { return AccessSchemaText; }

std::string_view limitsSchema() { return LimitsSchemaText; }

std::string_view revisionSchema() { return RevisionSchemaText; }

} // namespace persimmon
