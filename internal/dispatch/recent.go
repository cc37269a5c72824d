package dispatch

import "container/list"

// recentMap is a map of bounded size. When full, it evicts the key that was set
// least recently. It is not safe for concurrent use.
type recentMap[V any] struct {
	max   int
	items map[string]*list.Element
	order *list.List
}

type recentItem[V any] struct {
	key   string
	value V
}

func newRecentMap[V any](max int) *recentMap[V] {
	return &recentMap[V]{max: max, items: map[string]*list.Element{}, order: list.New()}
}

func (m *recentMap[V]) get(key string) (V, bool) {
	element, ok := m.items[key]
	if !ok {
		var zero V
		return zero, false
	}
	return element.Value.(recentItem[V]).value, true
}

func (m *recentMap[V]) set(key string, value V) {
	m.remove(key)
	if m.order.Len() >= m.max {
		m.remove(m.order.Front().Value.(recentItem[V]).key)
	}
	m.items[key] = m.order.PushBack(recentItem[V]{key: key, value: value})
}

func (m *recentMap[V]) remove(key string) {
	if element, ok := m.items[key]; ok {
		m.order.Remove(element)
		delete(m.items, key)
	}
}

func (m *recentMap[V]) clear() {
	clear(m.items)
	m.order.Init()
}
