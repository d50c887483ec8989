#include "command/leaving_data_centres.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "command/documents.h"

namespace rosemarydrum {

result<leaving_data_centres> read_leaving(store_access& store) {
  leaving_data_centres value;
  BOOST_LEAF_AUTO(found, store.get(std::string(leaving_key)));
  value.changed = found.changed;
  if (found.text.empty()) {
    return value;
  }
  boost::json::error_code error;
  const auto parsed = boost::json::parse(found.text, error);
  const auto* names = !error && parsed.is_object()
                          ? parsed.get_object().if_contains("names")
                          : nullptr;
  if (names == nullptr || !names->is_array()) {
    return fail(error_kind::bad_document,
                std::string(leaving_key) + " is malformed");
  }
  for (const auto& name : names->get_array()) {
    value.names.push_back(cell_text(name));
  }
  return value;
}

result<revision> write_leaving(command_context& context,
                               const leaving_data_centres& value) {
  const auto id = new_operation(context, "leaving");
  const boost::json::object written = {
      {"names", boost::json::array(value.names.begin(), value.names.end())},
      {"operation", id}};
  return context.store.write(std::string(leaving_key),
                             boost::json::serialize(written), value.changed,
                             id);
}

}  // namespace rosemarydrum
