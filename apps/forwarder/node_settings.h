#pragma once
#include <string>
#include "rosemarydrum/types.h"
namespace rosemarydrum {
struct node_settings {
  std::string name;
  std::string data_centre;
  endpoint listen;
  endpoint ready_listen;
  endpoint store;
  std::string ready_path;
};
}
