package residency

import "slices"

// fillNew loads the most valuable models that lack a replica at engines that have room and no
// copies, as new ones have. Such an engine is never the soonest for a wanted model with a copy
// elsewhere, and a load from the store there blocks no copy of another model. One concurrent
// load of the store is left for requests that arrive in the meantime.
func (p *Planner) fillNew(d *draft) []Order {
	var orders []Order
	var lacking []weightedModel
	for _, e := range p.sorted {
		if !p.free(d.now, e) || !e.isNew() || p.scheduled(e) {
			continue
		}
		if lacking == nil {
			lacking = p.lackingModels(d)
		}
		i := slices.IndexFunc(lacking, func(w weightedModel) bool { return e.models[w.model] == nil && p.hasRoom(d, e, w.model) })
		if i < 0 || p.storeLoads() >= p.store.Estimate-reservedStoreLoads || !p.mayLoadFromStore(d.now) {
			continue
		}
		if o, ok := p.modelOrder(d, e, lacking[i].model, false); ok {
			orders = append(orders, o)
			lacking = slices.Delete(lacking, i, i+1)
		}
	}
	return orders
}

// isNew reports whether the engine has no copies of models that it has not loaded.
func (e *engineState) isNew() bool {
	for name := range e.onDisk {
		if e.models[name] == nil {
			return false
		}
	}
	return true
}

// hasRoom reports whether an engine has room for a model without any unload.
func (p *Planner) hasRoom(d *draft, e *engineState, model string) bool {
	return d.engines[e].memory+p.conf.Engine.Models[model].SizeMB <= p.conf.Engine.MemoryMB
}

// lackingModels returns the models with recent requests that have fewer replicas than they
// need and no load in the schedule, the most valuable first.
func (p *Planner) lackingModels(d *draft) []weightedModel {
	const minValue = 0.5 // half of one request of the lowest weight
	list := []weightedModel{}
	for model := range p.conf.Engine.Models {
		if d.replicas[model] >= max(1, d.needed(model)) || p.scheduledModel(model) {
			continue
		}
		if v := max(p.value(d.now, model), busyWeight*float64(d.active[model])); v >= minValue {
			list = append(list, weightedModel{anywhere(model), v})
		}
	}
	slices.SortFunc(list, compareWeights)
	return list
}
