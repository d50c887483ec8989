#include "rosemarydrum/field_error.h"

namespace rosemarydrum {

std::string to_line(const field_error& error) {
  return error.key + ": value \"" + error.value +
         "\" is not allowed; allowed: " + error.allowed + "; fix: " + error.fix;
}

}  // namespace rosemarydrum
